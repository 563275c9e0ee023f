"""A worker that crashes and comes back by turns while it runs a sound job."""

import asyncio
import os
import time
from pathlib import Path

import msgspec

from nocover.configuration_soak.content import LASTING_ROUTE
from nocover.configuration_soak.machine import Machine
from nocover.configuration_soak.main import ROOT
from nocover.configuration_soak.site_shape import SHAPES
from nocover.job_soak.job import Job, JobStep
from nocover.job_soak.job_client import JobClient
from nocover.job_soak.job_play import JobPlay

TEST_PROCESS = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw"))
FIRST_NETWORK = 240
SHAPE = msgspec.structs.replace(SHAPES["small-jobs"], workers=(1, 0, 0), recovery_s=30.0)
WORK_S = 2.7
CRASHES = 6
DOWN_S, UP_S = 1.2, 1.3


class FlappingWorkerPlay(JobPlay):
    """Submits one job, and crashes the only worker by turns, for less time than the job works."""

    __slots__ = ()

    lanes = 0

    def follow(self, machine: Machine) -> None:
        """Starts no callers."""

    async def final_fault(self) -> bool:
        client = JobClient(self.site, self.site.machines[0])
        job = Job("70aac72a93ceff0f", LASTING_ROUTE, (JobStep(1, 3, WORK_S),))
        await client.submit(job)
        (worker_machine,) = self.site.worker_machines()
        for _ in range(CRASHES):
            await asyncio.sleep(UP_S)
            worker_machine.crash_worker()
            await client.read_as_client(job)
            await asyncio.sleep(DOWN_S)
            await worker_machine.start_worker()
        client.close()
        self.back_s = time.monotonic()
        return await self.check_service()


def test_worker_that_crashes_by_turns_fails_no_job(tmp_path: Path) -> None:
    """Guards against a sound job that is shown as failed because its worker crashes by itself."""
    play = FlappingWorkerPlay(SHAPE, tmp_path, ROOT, 1, FIRST_NETWORK + TEST_PROCESS, ())
    report = asyncio.run(play.run(1, 0.0))
    assert report.findings == [], play.site.findings.events
