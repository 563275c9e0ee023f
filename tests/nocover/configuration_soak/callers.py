"""Callers of an entry: counts of queues, and jobs on a queue that stays."""

import asyncio
import random
import time

import msgspec

from nocover.configuration_soak.content import HOSTS, LASTING_KEY, LASTING_ROUTE, Content
from nocover.configuration_soak.http_caller import NO_ANSWER, Answer, HttpCaller
from nocover.configuration_soak.machine import CLIENTS, Machine
from nocover.configuration_soak.site import Site

CALL_TIMEOUT_S = 3.0
LONGEST_PAUSE_S = 0.12
JOB_SHARE = 0.05
# A job must be visible at every entry this long after it was accepted.
VISIBLE_S = 3.0
JOB = msgspec.json.encode({"Spec": "soak", "Steps": [{"Count": 1, "Cpu": 500, "Gpus": 1}]})


class Caller:
    """Calls one entry over a connection that stays open."""

    __slots__ = ("accepted", "caller", "machine", "random", "site")

    def __init__(self, site: Site, machine: Machine, accepted: dict[str, float]) -> None:
        """Creates a caller that adds its jobs to `accepted`, with the time of the acceptance."""
        self.site = site
        self.machine = machine
        self.accepted = accepted
        self.random = random.Random(site.random.random())
        self.caller = HttpCaller(machine.host, CLIENTS, CALL_TIMEOUT_S)

    async def run(self) -> None:
        """Calls until it is cancelled or the machine is gone."""
        try:
            while self.machine in self.site.machines:
                if self.random.random() < JOB_SHARE:
                    await self.submit()
                elif self.accepted and self.random.random() < JOB_SHARE:
                    await self.find(self.random.choice(list(self.accepted)))
                else:
                    await self.count()
                await asyncio.sleep(self.random.uniform(0.01, LONGEST_PAUSE_S))
        finally:
            self.caller.close()

    async def count(self) -> None:
        """Asks for the length of a queue that was added, removed or was never there."""
        host, prefix = LASTING_ROUTE
        if self.random.random() < 0.9:
            host, prefix = self.random.choice(HOSTS), f"/q{self.random.randrange(13)}/"
        key = self.random.choice((LASTING_KEY, *(f"k{n}" for n in range(10))))
        answer = await self._call("GET", host, prefix, key)
        if answer.status in (NO_ANSWER, *range(500, 600)):
            self.site.findings.counts["calls without an answer"] += 1
            return
        self.site.findings.counts["calls"] += 1
        versions = self.site.versions.possible(answer.sent_s, answer.answered_s)
        contents = [content for sent in versions for content in sent.possible_contents()]
        allowed = {content.expected_status(host, prefix, key) for content in contents}
        if answer.status not in allowed:
            self._report(answer, host, prefix, key, contents)

    async def submit(self) -> None:
        """Hands in a job on the queue that stays."""
        identifier = f"{self.random.getrandbits(64):016x}"
        host, prefix = LASTING_ROUTE
        answer = await self._call("POST", host, prefix + identifier, LASTING_KEY, JOB)
        if answer.status == 200:
            self.accepted[identifier] = time.monotonic()
            self.site.findings.counts["jobs"] += 1
        elif 400 <= answer.status < 500:
            self.site.findings.report("job refused", f"{answer.status}: {answer.body[:200]!r}")

    async def find(self, identifier: str) -> bool:
        """Asks for a job; returns whether its state came."""
        host, prefix = LASTING_ROUTE
        answer = await self._call("GET", host, prefix + identifier, LASTING_KEY)
        is_late = answer.sent_s > self.accepted[identifier] + VISIBLE_S
        if 400 <= answer.status < 500 and is_late:
            detail = f"{answer.status} for {identifier} at {self.machine.host}"
            self.site.findings.report("job lost", f"{detail}, {answer.decided_by}")
        return answer.status == 200

    async def _call(self, method: str, host: str, path: str, key: str, body: bytes = b"") -> Answer:
        headers = {"Host": host, "Authorization": f"Token {key}", "Deadline-Ms": "3000"}
        return await self.caller.call(method, path, body, headers)

    def _report(
        self, answer: Answer, host: str, prefix: str, key: str, contents: list[Content]
    ) -> None:
        lowest = self.site.versions.floor(answer.sent_s)
        expected = {c.version: c.expected_status(host, prefix, key) for c in contents}
        self.site.findings.report(
            "call decided by another version",
            f"{answer.status} for {host}{prefix} with key {key} at {self.machine.host}, "
            f"{answer.decided_by}; {lowest} was known {expected=}",
        )
