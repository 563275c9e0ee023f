"""Pattern: an urgent gang within its guarantee that is accepted before an outage of control."""

import pytest
from msgspec.structs import replace

from cicadatray.internal.bench.graph_experiment.disturbances import Disturbances, Spell
from cicadatray.internal.bench.graph_experiment.experiment_policy import experiment_policies
from cicadatray.internal.bench.graph_experiment.fleet_emulator import FleetEmulator
from cicadatray.internal.bench.graph_experiment.load_sheets import (
    QUOTE,
    REVIEW,
    SHEETS,
)
from cover.experiment.job_plans import plan_job

SHEET = replace(SHEETS["port_louis"], workers=3, guaranteed=16)
ACCELERATORS = 8
OUTAGE_FROM_S = 2.0


@pytest.mark.parametrize("outage_s", [1.0, 3.0, 6.0, 9.0])
def test_batch_work_is_displaced_once_for_a_late_gang(outage_s: float) -> None:
    """Guards against a gang that displaces batch work again and again and never starts.

    The gang was too late to have any value, so that in the next round the batch work that it had
    displaced was placed before it, and was displaced again.
    """
    batch = plan_job(REVIEW, "batch", 0.0, 6 * ACCELERATORS, 1, 30.0)
    urgent = plan_job(QUOTE, "urgent", OUTAGE_FROM_S, 2, ACCELERATORS, 1.0)
    outage = Spell(frozenset(), OUTAGE_FROM_S, OUTAGE_FROM_S + outage_s)
    emulator = FleetEmulator(
        SHEET, [batch, urgent], experiment_policies["present"], Disturbances(outages=(outage,))
    )
    result = emulator.run()
    repeated = sum(task.run - 1 for task in emulator.graphs["batch"].tasks.values())
    assert repeated == 2 * ACCELERATORS
    assert max(result.urgent_waits_s) <= outage_s + 1.25
