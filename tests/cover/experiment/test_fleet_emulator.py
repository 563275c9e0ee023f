"""Tests of loads of task graphs on emulated workers."""

from collections.abc import Sequence

import pytest

from cicadatray.internal.bench.graph_experiment.comparison import compare, format_rows
from cicadatray.internal.bench.graph_experiment.errors import InvalidPlanError
from cicadatray.internal.bench.graph_experiment.experiment_policy import (
    RoundFactory,
    experiment_policies,
)
from cicadatray.internal.bench.graph_experiment.fleet_emulator import FleetEmulator
from cicadatray.internal.bench.graph_experiment.job_stream import draw_jobs
from cicadatray.internal.bench.graph_experiment.load_sheets import SHEETS
from cicadatray.internal.bench.graph_experiment.run_result import RunResult
from cicadatray.scheduling.taskgraphs.placement_round import PlacementRound
from cicadatray.scheduling.taskgraphs.running_work import RunningWork
from cicadatray.scheduling.taskgraphs.worker_capacity import WorkerCapacity

PRESENT = experiment_policies["present"]


def emulate(
    sheet: str, seed: int, burst: float = 1.0, make_round: RoundFactory = PRESENT
) -> RunResult:
    return FleetEmulator(SHEETS[sheet], draw_jobs(SHEETS[sheet], seed, burst), make_round).run()


@pytest.mark.parametrize("sheet", sorted(SHEETS))
@pytest.mark.parametrize("seed", range(1, 6))
def test_plans_can_be_carried_out(sheet: str, seed: int) -> None:
    """Guards against plans over a worker's capacity in bursts of large urgent gangs.

    The loads also have wrong estimates of durations.
    """
    result = emulate(sheet, seed, burst=3.0)
    assert result.offered_worth > 0
    assert 0.0 < result.earned_worth <= result.offered_worth


@pytest.mark.parametrize("sheet", sorted(SHEETS))
def test_same_seed_gives_the_same_run(sheet: str) -> None:
    """Guards against comparing policies on different loads."""
    first, second = emulate(sheet, 7), emulate(sheet, 7)
    assert first.worth() == second.worth()
    assert first.urgent_waits_s == second.urgent_waits_s
    assert emulate(sheet, 8).worth() != first.worth()


def test_policy_that_overfills_workers_is_rejected() -> None:
    """Guards against a high score for a policy that ignores running work."""

    def ignore_running_work(
        workers: Sequence[WorkerCapacity], running: Sequence[RunningWork], now_s: float
    ) -> PlacementRound:
        for worker in workers:
            worker.free = worker.free_after_stops = worker.capacity
        return PlacementRound(workers, [], now_s)

    with pytest.raises(InvalidPlanError):
        for seed in range(1, 10):
            emulate("port_louis", seed, burst=3.0, make_round=ignore_running_work)


def test_policy_that_starts_nothing_earns_nothing() -> None:
    """Guards against counting jobs that never end as completed."""

    def idle(
        workers: Sequence[WorkerCapacity], running: Sequence[RunningWork], now_s: float
    ) -> PlacementRound:
        return PlacementRound([], running, now_s)

    result = emulate("cartago", 1, make_round=idle)
    assert result.earned_worth == 0.0
    assert result.lost > 0


def test_gain_is_taken_seed_by_seed() -> None:
    """Guards against comparing means over different loads, which differ more than policies do."""

    def make_result(earned: float) -> RunResult:
        result = RunResult()
        result.earned_worth, result.offered_worth = earned, 10.0
        return result

    rows = compare(
        {
            "one": [make_result(2.0), make_result(8.0), make_result(5.0)],
            "other": [make_result(3.0), make_result(9.0), make_result(6.0)],
        }
    )
    assert rows[0].gain == 0.0
    assert rows[1].gain == pytest.approx(0.1)
    assert rows[1].gain_error == pytest.approx(0.0, abs=1e-9)
    assert "other" in format_rows("load", rows)
