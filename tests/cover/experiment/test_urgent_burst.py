"""Pattern: a burst of urgent gangs on a fleet that is full of batch work."""

import pytest
from msgspec.structs import replace

from cicadatray.internal.bench.graph_experiment.experiment_policy import experiment_policies
from cicadatray.internal.bench.graph_experiment.fleet_emulator import FleetEmulator
from cicadatray.internal.bench.graph_experiment.load_sheet import LoadSheet
from cicadatray.internal.bench.graph_experiment.load_sheets import (
    QUOTE,
    REVIEW,
    SHEETS,
)
from cover.experiment.job_plans import plan_job

WORKERS = 6
ACCELERATORS = 8
SHEET: LoadSheet = replace(SHEETS["muscat_grown"], workers=WORKERS, guaranteed=32)
# Stopping the batch work takes one round to decide, 0.5 s to stop and one round to start.
LONGEST_START_S = 1.25


@pytest.mark.parametrize("second_arrival_s", [2.25, 2.5, 2.75])
def test_each_urgent_gang_displaces_for_itself_once(second_arrival_s: float) -> None:
    """Guards against an urgent gang that starts in capacity freed for another one.

    The gang that had displaced batch work had to wait until its promise was almost over, and then
    displaced as much again.
    """
    batch = plan_job(REVIEW, "batch", 0.0, WORKERS * ACCELERATORS, 1, 30.0)
    large = plan_job(QUOTE, "large", 2.0, 3, ACCELERATORS, 6.0)
    tight = plan_job(QUOTE, "tight", second_arrival_s, 2, 2, 2.0)
    emulator = FleetEmulator(SHEET, [batch, large, tight], experiment_policies["present"])
    result = emulator.run()
    assert max(result.urgent_waits_s) <= LONGEST_START_S
    repeated = sum(task.run - 1 for task in emulator.graphs["batch"].tasks.values())
    assert repeated == 3 * ACCELERATORS + 2 * 2
