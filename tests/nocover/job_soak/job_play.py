"""One play with agents, workers and jobs."""

import asyncio
import time
from typing import Any

from nocover.configuration_soak.content import LASTING_ROUTES, Content, first_content
from nocover.configuration_soak.machine import Machine
from nocover.configuration_soak.play import Play, PlayReport
from nocover.job_soak import worker_disturbances
from nocover.job_soak.job_client import JobClient
from nocover.job_soak.job_judge import JobJudge

DISTURBANCE_MODULES = (worker_disturbances,)
LONGEST_OUTAGE_S = 3.0
CLOSING_S = 0.1
NO_FAULT = "none"
FINAL_FAULTS = (
    "all power",
    "power of control, entries and agents",
    "power of control and entries",
    "all processes",
    NO_FAULT,
)


class JobPlay(Play):
    """Submits jobs through all entries and judges them at the end."""

    __slots__ = ("fault",)

    lanes = 4

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.operators = self.operators[:1]
        self.fault = NO_FAULT

    async def run(self, seed: int, seconds: float) -> PlayReport:
        report = await super().run(seed, seconds)
        # The connections of workers end once the event loop runs again.
        await asyncio.sleep(CLOSING_S)
        return report

    def first_content(self) -> Content:
        return first_content(LASTING_ROUTES)

    def follow(self, machine: Machine) -> None:
        if "entry" in machine.roles:
            name = f"{machine.host} jobs"
            self.spawn(name, JobClient(self.site, machine).run())

    async def final_fault(self) -> bool:
        self.fault = self.site.random.choice(FINAL_FAULTS)
        self.site.findings.note(f"final fault: {self.fault}")
        if self.fault != NO_FAULT:
            return await super().final_fault()
        await self.wait_until_whole()
        self.back_s = time.monotonic()
        return await self.check_service()

    async def take_down(self) -> None:
        site = self.site
        kept: list[Machine] = []
        if self.fault == "power of control and entries":
            kept += site.worker_machines()
        for worker_machine in site.worker_machines():
            worker_machine.shares_power = self.fault == "all power"
        taken = [machine for machine in site.machines if machine not in kept]
        site.set_power(taken, is_on=False)
        for machine in taken:
            if self.fault == "all processes":
                machine.kill()
            else:
                machine.lose_power(site.random)
        await asyncio.sleep(site.random.uniform(0.0, LONGEST_OUTAGE_S))
        site.set_power(taken, is_on=True)

    async def check_service(self) -> bool:
        """Judges the jobs; returns False because nothing is judged after them."""
        site = self.site
        shape = site.shape
        await self._sleep_until(min(shape.recovery_s, shape.traffic_s))
        judge = JobJudge(site)
        self.spawn("judge", judge.watch())
        await self._sleep_until(shape.traffic_s)
        for name in [name for name in self.tasks if name.endswith(("jobs", "population"))]:
            self.tasks.pop(name).cancel()
        site.findings.note("end of the traffic")
        await asyncio.sleep(shape.finish_s)
        await judge.read_all()
        return False

    async def _sleep_until(self, after_s: float) -> None:
        await asyncio.sleep(max(0.0, self.back_s + after_s - time.monotonic()))
