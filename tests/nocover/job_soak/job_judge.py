"""Judges, in calm, that jobs are known, answered and done."""

import asyncio
import time

from nocover.configuration_soak.machine import Machine
from nocover.configuration_soak.site import Site
from nocover.job_soak.job import Job, JobStep
from nocover.job_soak.job_client import UNKNOWN, JobClient, entries
from nocover.job_soak.worker import CPU, GPUS, Worker

# Jobs may wait while so much of the workers' room is taken.
BUSY_SHARE = 0.5
WATCH_INTERVAL_S = 0.1
LATE_S = 0.3


class JobJudge:
    """Watches jobs that wait; `waiting_since_s` holds when each began to."""

    __slots__ = ("reported", "site", "unfinished", "waiting_since_s")

    def __init__(self, site: Site) -> None:
        self.site = site
        self.waiting_since_s: dict[str, float] = {}
        self.reported: set[str] = set()
        self.unfinished: set[str] = set()

    async def watch(self) -> None:
        """Reports each job that waits for too long, until cancelled."""
        client = JobClient(self.site, entries(self.site)[0])
        while True:
            asleep_s = time.monotonic()
            await asyncio.sleep(WATCH_INTERVAL_S)
            now_s = time.monotonic()
            if now_s - asleep_s > LATE_S:
                # A wait beside such a line may come from a machine that is busy.
                self.site.findings.note(f"the soak slept for {now_s - asleep_s:.3f} s")
            waiting = [job for job in self.site.ledger.accepted() if self._could_run(job)]
            since_s = self.waiting_since_s
            self.waiting_since_s = {
                job.identifier: since_s.get(job.identifier, now_s) for job in waiting
            }
            for job in waiting:
                if now_s - self.waiting_since_s[job.identifier] > self.site.shape.longest_wait_s:
                    await self._report_wait(client, job)

    async def _report_wait(self, client: JobClient, job: Job) -> None:
        if job.identifier in self.reported:
            return
        self.reported.add(job.identifier)
        steps = [step.document() for step in job.ready_steps()]
        detail = f"{job.identifier}, ready {steps}, taken {self._taken_share():.2f}"
        # Control may know of ends that were lost with their worker.
        state = await client.read_as_client(job)
        if state not in ("done", "failed"):
            self.site.findings.report("job waits though it could run", f"{detail}, {state!r}")

    def _could_run(self, job: Job) -> bool:
        if job.is_shown_done or job.is_done() or job.running:
            return False
        if self._taken_share() >= BUSY_SHARE:
            return False
        return any(self._fits_twice(step) for step in job.ready_steps())

    def _is_owed(self, job: Job) -> bool:
        """Returns whether a job must be done by now, the first time that it is asked for."""
        is_first = job.identifier not in self.unfinished
        self.unfinished.add(job.identifier)
        is_possible = all(self._is_possible(step) for step in job.steps)
        return is_first and is_possible and self._taken_share() < BUSY_SHARE

    def _is_possible(self, step: JobStep) -> bool:
        labels = [worker.labels for worker in self._workers()]
        suitable = sum(not step.label or step.label in own for own in labels)
        return suitable * min(CPU // step.cpu, GPUS // step.gpus) >= step.needed_at_once()

    def _workers(self) -> list[Worker]:
        now_s = time.monotonic()
        return [
            worker
            for worker in self.site.ledger.workers
            if not worker.is_draining and worker.faults.end_s() < now_s
        ]

    def _taken_share(self) -> float:
        free = [worker.free() for worker in self._workers()]
        cpu, gpus = sum(cpu for cpu, _ in free), sum(gpus for _, gpus in free)
        count = max(1, len(free))
        return 1.0 - min(cpu / (count * CPU), gpus / (count * GPUS))

    def _fits_twice(self, step: JobStep) -> bool:
        room = 0
        for worker in self._workers():
            if not step.label or step.label in worker.labels:
                cpu, gpus = worker.free()
                room += min(cpu // step.cpu, gpus // step.gpus)
        return room >= 2 * step.needed_at_once()

    async def read_all(self) -> None:
        """Reads each accepted job at every entry alone, and as clients do where one fails."""
        async with asyncio.TaskGroup() as reads:
            for machine in entries(self.site):
                reads.create_task(self._read_at(machine))

    async def _read_again(self, client: JobClient, job: Job, machine: Machine) -> str:
        """Reads a job at one entry until it answers, and reports how long that took."""
        began_s = time.monotonic()
        where = f"{job.identifier} at {machine.host}"
        while (silent_s := time.monotonic() - began_s) < self.site.shape.recovery_s:
            await asyncio.sleep(WATCH_INTERVAL_S)
            if state := await client.read(job, machine):
                detail = f"{where}, an answer {silent_s:.1f} s later"
                self.site.findings.report("no answer of one entry in calm", detail)
                return state
        self.site.findings.report("no answer of one entry for good", where)
        return UNKNOWN

    async def _read_at(self, machine: Machine) -> None:
        client = JobClient(self.site, machine)
        findings = self.site.findings
        for job in self.site.ledger.accepted():
            state = await client.read(job, machine)
            if not state:
                is_answered = bool(await client.read_as_client(job))
                state = await self._read_again(client, job, machine)
                if not is_answered:
                    findings.report("job without an answer", job.identifier)
            if not state:
                break
            if state not in ("done", "failed") and self._is_owed(job):
                findings.report("job not done in time", f"{job.identifier} is {state}")
        client.close()
