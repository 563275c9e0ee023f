"""A short soak of jobs with the programs of deploy/system.toml and stand-ins for workers."""

import asyncio
import os
from pathlib import Path

import pytest

from nocover.configuration_soak.main import ROOT
from nocover.configuration_soak.site_shape import SHAPES
from nocover.job_soak.job_play import JobPlay

# Each process of the test runner has addresses of its own.
TEST_PROCESS = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw"))
FIRST_NETWORK = 220
SECONDS = 6.0


@pytest.mark.parametrize(("shape", "seed"), [("small-jobs", 1)])
def test_jobs_under_disturbances(shape: str, seed: int, tmp_path: Path) -> None:
    """Guards against an accepted job that is lost, not answered, not done, or run twice."""
    play = JobPlay(SHAPES[shape], tmp_path, ROOT, seed, FIRST_NETWORK + TEST_PROCESS, ())
    report = asyncio.run(play.run(seed, SECONDS))
    assert report.findings == [], play.site.findings.events
    assert report.counts["jobs accepted"] and report.counts["reads of jobs"]
