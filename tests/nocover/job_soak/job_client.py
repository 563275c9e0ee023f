"""Clients that submit jobs and ask for their states, over connections that stay open."""

import asyncio
import random
import time

import msgspec

from nocover.configuration_soak.callers import CALL_TIMEOUT_S, VISIBLE_S
from nocover.configuration_soak.content import LASTING_KEY
from nocover.configuration_soak.http_caller import Answer, HttpCaller
from nocover.configuration_soak.machine import CLIENTS, Machine
from nocover.configuration_soak.site import Site
from nocover.job_soak.job import Job, draw_job
from nocover.job_soak.worker_machine import WORKER_KINDS

# Jobs each second through all entries for each worker; about a third of the workers' room.
JOB_RATE_HZ = 0.35
READS_FOR_EACH_JOB = 4
ATTEMPTS = 4
# After these a client sends the same job again, at another entry.
REPEATED_STATUSES = (0, 502, 504)
# A task ends as failed this often before its job may be shown as failed.
MAX_ATTEMPTS = 2
UNKNOWN = ""


class StateField(msgspec.Struct):
    """The part of an answer that names the state of a job."""

    State: str


class JobClient:
    """Uses one entry, and others after a failure there."""

    __slots__ = ("callers", "machine", "random", "site")

    def __init__(self, site: Site, machine: Machine) -> None:
        self.site = site
        self.machine = machine
        self.random = random.Random(site.random.random())
        self.callers: dict[str, HttpCaller] = {}

    async def run(self) -> None:
        """Submits jobs and asks for those of all clients, until cancelled."""
        calls_for_each_job = 1 + READS_FOR_EACH_JOB
        try:
            while self.machine in self.site.machines:
                rate_hz = JOB_RATE_HZ * max(1, len(self.site.worker_machines()))
                mean_s = len(entries(self.site)) / rate_hz / calls_for_each_job
                await asyncio.sleep(self.random.uniform(0.0, 2.0 * mean_s))
                accepted = self.site.ledger.accepted()
                if accepted and self.random.random() < READS_FOR_EACH_JOB / calls_for_each_job:
                    await self.read(self.random.choice(accepted), self.machine)
                else:
                    await self.submit(self.draw_job())
        finally:
            self.close()

    def draw_job(self) -> Job:
        """Returns a job of a kind that is drawn."""
        racks = [f"rack-{zone}" for zone in range(len(self.site.shape.workers))]
        return draw_job(self.random, racks, [*WORKER_KINDS])

    async def submit(self, job: Job) -> None:
        """Submits a job, again at other entries after no clear answer."""
        self.site.ledger.jobs[job.identifier] = job
        for machine in self.attempts():
            answer = await self._call("POST", job, machine, job.body())
            if 200 <= answer.status < 300:
                job.accepted_s = answer.answered_s
                self.site.findings.counts["jobs accepted"] += 1
                kinds = [step.document() for step in job.steps]
                self.site.findings.note(f"accepted {job.identifier} at {machine.host}: {kinds}")
                return
            if 400 <= answer.status < 500 and answer.status != 429:
                detail = f"{answer.status} for {job.identifier} at {machine.host}"
                self.site.findings.report("job refused", detail)
            if answer.status not in REPEATED_STATUSES:
                break
        self.site.findings.counts["jobs not accepted"] += 1

    def attempts(self) -> list[Machine]:
        """Returns the entries in the order in which this client tries them."""
        others = [machine for machine in entries(self.site) if machine is not self.machine]
        self.random.shuffle(others)
        return [self.machine, *others][:ATTEMPTS]

    async def read(self, job: Job, machine: Machine) -> str:
        """Asks one entry for a job, and judges the answer; returns the state or `UNKNOWN`."""
        answer = await self._call("GET", job, machine)
        findings = self.site.findings
        where = f"{job.identifier} at {machine.host}, {answer.decided_by}"
        if 400 <= answer.status < 500 and answer.sent_s > job.accepted_s + VISIBLE_S:
            findings.report("job lost", f"{answer.status} for {where}")
        if answer.status != 200:
            findings.counts["reads of jobs without an answer"] += 1
            return UNKNOWN
        findings.counts["reads of jobs"] += 1
        state = msgspec.json.decode(answer.body, type=StateField).State
        if state == "cancelled" or (state == "failed" and job.failures < MAX_ATTEMPTS):
            findings.report(f"job shown as {state} without cause", where)
        if state == "done" and not job.is_done():
            findings.report("job shown as done before its end", where)
        if state in ("done", "failed") and not job.is_shown_done:
            job.is_shown_done = True
            findings.note(f"{state} {where}")
        return state

    async def read_as_client(self, job: Job) -> str:
        """Asks for a job at one entry after the other until a state comes."""
        for machine in self.attempts():
            if state := await self.read(job, machine):
                return state
        return UNKNOWN

    async def _call(self, method: str, job: Job, machine: Machine, body: bytes = b"") -> Answer:
        host, prefix = job.route
        headers = {
            "Host": host,
            "Authorization": f"Token {LASTING_KEY}",
            "Deadline-Ms": f"{1000 * CALL_TIMEOUT_S:.0f}",
        }
        caller = self.callers.setdefault(
            machine.host, HttpCaller(machine.host, CLIENTS, CALL_TIMEOUT_S)
        )
        sent_s = time.monotonic()
        answer = await caller.call(method, prefix + job.identifier, body, headers)
        if answer.status not in (200, 410):
            took_s = answer.answered_s - sent_s
            self.site.findings.note(
                f"{method} {job.identifier} at {machine.host}: {answer.status} after {took_s:.3f} s"
            )
        return answer

    def close(self) -> None:
        """Closes all connections."""
        for caller in self.callers.values():
            caller.close()


def entries(site: Site) -> list[Machine]:
    """Returns the machines with an entry."""
    return [machine for machine in site.machines if "entry" in machine.roles]
