"""All processes start again while their seeds are gone or have lost their disk."""

import asyncio
import os
import time
from pathlib import Path

import msgspec

from nocover.configuration_soak.machine_disturbances import replace
from nocover.configuration_soak.main import ROOT
from nocover.configuration_soak.site_shape import SHAPES
from nocover.job_soak.job_play import JobPlay

TEST_PROCESS = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw"))
FIRST_NETWORK = 230
SHAPE = msgspec.structs.replace(SHAPES["small-jobs"], recovery_s=30.0)


class SeedsGonePlay(JobPlay):
    """Replaces two of the three seeds, and ends all processes with the disk of the third."""

    __slots__ = ()

    lanes = 0

    async def final_fault(self) -> bool:
        site = self.site
        seeds = site.machines[-1].seeds
        first, second, last = (m for m in list(site.machines) if m.host in seeds)
        for old in (first, second):
            site.findings.note(f"{old.host} is replaced")
            await replace(site, old)
            await self.wait_until_whole()
        site.mark_disturbed(site.machines, SHAPE.recovery_s)
        for machine in site.machines:
            machine.kill()
        last.wipe()
        site.findings.note(f"all processes end, the disk of {last.host} is lost")
        await site.start()
        self.back_s = time.monotonic()
        return await self.check_service()


def test_processes_find_the_leader_without_a_seed_that_knows_it(tmp_path: Path) -> None:
    """Guards against instances that serve nothing for good because no seed knows the leader."""
    play = SeedsGonePlay(SHAPE, tmp_path, ROOT, 1, FIRST_NETWORK + TEST_PROCESS, ())
    report = asyncio.run(play.run(1, 0.0))
    assert report.findings == [], play.site.findings.events
