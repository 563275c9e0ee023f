"""A short soak of the configuration with the programs of deploy/system.toml."""

import asyncio
import os
from pathlib import Path

import pytest

from nocover.configuration_soak.invalid_documents import INVALID_DOCUMENTS
from nocover.configuration_soak.main import ROOT
from nocover.configuration_soak.play import Play
from nocover.configuration_soak.site_shape import SHAPES

# Each process of the test runner has addresses of its own.
TEST_PROCESS = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw"))
FIRST_NETWORK = 200
SECONDS = 12.0


@pytest.mark.parametrize(("shape", "seed"), [("small", 1), ("small", 2)])
def test_configuration_under_disturbances(shape: str, seed: int, tmp_path: Path) -> None:
    """Guards against a configuration that is late, older, not valid, or has routes not served."""
    network = FIRST_NETWORK + TEST_PROCESS
    play = Play(SHAPES[shape], tmp_path, ROOT, seed, network, tuple(INVALID_DOCUMENTS))
    report = asyncio.run(play.run(seed, SECONDS))
    assert report.findings == [], play.site.findings.events
    assert report.counts["reads"] and report.counts["calls"] and report.counts["confirmed"]
