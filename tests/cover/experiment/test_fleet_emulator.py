"""Loads of task graphs on emulated workers."""

from collections.abc import Sequence

import pytest

from cicadatray.internal.bench.graph_experiment.comparison import compare, format_rows
from cicadatray.internal.bench.graph_experiment.errors import PlanBrokenError
from cicadatray.internal.bench.graph_experiment.experiment_policy import (
    MakeRound,
    experiment_policies,
)
from cicadatray.internal.bench.graph_experiment.fleet_emulator import FleetEmulator
from cicadatray.internal.bench.graph_experiment.job_stream import draw_jobs
from cicadatray.internal.bench.graph_experiment.load_sheet import SHEETS
from cicadatray.internal.bench.graph_experiment.run_result import RunResult
from cicadatray.scheduling.taskgraphs.placement_round import PlacementRound
from cicadatray.scheduling.taskgraphs.running_work import RunningWork
from cicadatray.scheduling.taskgraphs.worker_room import WorkerCapacity

PRESENT = experiment_policies["present"]


def play(sheet: str, seed: int, burst: float = 1.0, make_round: MakeRound = PRESENT) -> RunResult:
    return FleetEmulator(SHEETS[sheet], draw_jobs(SHEETS[sheet], seed, burst), make_round).play()


@pytest.mark.parametrize("sheet", sorted(SHEETS))
@pytest.mark.parametrize("seed", range(1, 6))
def test_plans_can_be_carried_out(sheet: str, seed: int) -> None:
    """Bursts of large urgent gangs with wrong estimates must not bring a worker over its room."""
    result = play(sheet, seed, burst=3.0)
    assert result.owed > 0
    assert 0.0 < result.earned <= result.owed


@pytest.mark.parametrize("sheet", sorted(SHEETS))
def test_same_seed_gives_the_same_run(sheet: str) -> None:
    """A comparison of policies is worth nothing when the loads differ."""
    first, second = play(sheet, 7), play(sheet, 7)
    assert first.worth() == second.worth()
    assert first.urgent_waits_s == second.urgent_waits_s
    assert play(sheet, 8).worth() != first.worth()


def test_policy_that_overfills_workers_is_found() -> None:
    """A policy that ignores what runs would look best of all."""

    def careless(
        workers: Sequence[WorkerCapacity], running: Sequence[RunningWork], now_s: float
    ) -> PlacementRound:
        for worker in workers:
            worker.free = worker.free_after_stops = worker.capacity
        return PlacementRound(workers, [], now_s)

    with pytest.raises(PlanBrokenError):
        for seed in range(1, 10):
            play("port_louis", seed, burst=3.0, make_round=careless)


def test_policy_that_starts_nothing_earns_nothing() -> None:
    """Jobs that never end must not count as served."""

    def idle(
        workers: Sequence[WorkerCapacity], running: Sequence[RunningWork], now_s: float
    ) -> PlacementRound:
        return PlacementRound([], running, now_s)

    result = play("cartago", 1, make_round=idle)
    assert result.earned == 0.0
    assert result.lost > 0


def test_gain_is_taken_seed_by_seed() -> None:
    """Loads differ more than policies, so means of different loads say little."""

    def made(earned: float) -> RunResult:
        result = RunResult()
        result.earned, result.owed = earned, 10.0
        return result

    rows = compare(
        {"one": [made(2.0), made(8.0), made(5.0)], "other": [made(3.0), made(9.0), made(6.0)]}
    )
    assert rows[0].gain == 0.0
    assert rows[1].gain == pytest.approx(0.1)
    assert rows[1].gain_error == pytest.approx(0.0, abs=1e-9)
    assert "other" in format_rows("load", rows)
