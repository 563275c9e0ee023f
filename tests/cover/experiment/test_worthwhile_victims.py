"""Patterns of urgent gangs for which small tasks, or another gang, would have to stop."""

import pytest
from msgspec.structs import replace

from cicadatray.internal.bench.graph_experiment.disturbances import Disturbances, Spell
from cicadatray.internal.bench.graph_experiment.fleet_emulator import FleetEmulator
from cicadatray.internal.bench.graph_experiment.load_sheets import (
    QUOTE,
    REVIEW,
    SHEETS,
)
from cicadatray.internal.bench.graph_experiment.planned_job import PlannedJob
from cicadatray.scheduling.taskgraphs.rules.scheduling_rules import SchedulingRules
from cover.experiment.checked_policy import CheckedPolicy
from cover.experiment.job_plans import plan_job

WORKERS = 6
ACCELERATORS = 8
SHEET = replace(SHEETS["sofia"], workers=WORKERS, guaranteed=0, guarantees={})
RULES = SchedulingRules(victims="worthwhile")
FULL = WORKERS * ACCELERATORS


def play(
    jobs: list[PlannedJob],
    guaranteed: int = 0,
    outage_s: float = 0.0,
    leader_change_s: float = float("inf"),
) -> tuple[FleetEmulator, CheckedPolicy]:
    """Plays jobs on one rack of six workers; control is out for a while from 2 s on."""
    policy = CheckedPolicy(RULES, leader_change_s)
    outage = Spell(frozenset(), 2.0, 2.0 + outage_s)
    sheet = replace(SHEET, guaranteed=guaranteed)
    emulator = FleetEmulator(sheet, jobs, policy, Disturbances(outages=(outage,)))
    emulator.run()
    return emulator, policy


@pytest.mark.parametrize("leader_change_s", [float("inf"), 2.25], ids=["", "new leader"])
@pytest.mark.parametrize(
    ("batch_s", "outage_s", "guaranteed", "displaced"),
    [
        (30.0, 0.0, 0, 2 * ACCELERATORS),
        (3.5, 0.0, 0, 0),
        (30.0, 5.0, 0, 0),
        (30.0, 5.0, 48, 2 * ACCELERATORS),
    ],
    ids=["gains", "ends in time", "late", "guaranteed"],
)
def test_whole_workers_on_a_rack_full_of_small_tasks(
    batch_s: float, outage_s: float, guaranteed: int, displaced: int, leader_change_s: float
) -> None:
    """Guards against small tasks that are stopped for a gang that is late all the same.

    One gang displaced 96 runs, started 1.5 s after its acceptance and ended late.
    """
    batch = plan_job(REVIEW, "batch", 0.0, FULL, 1, batch_s)
    urgent = plan_job(QUOTE, "urgent", 2.0, 2, ACCELERATORS, 4.0)
    emulator, policy = play([batch, urgent], guaranteed, outage_s, leader_change_s)
    assert sum(policy.displaced_tasks.values()) == displaced
    assert max(policy.displaced_tasks.values(), default=1) == 1
    assert emulator.graphs["urgent"].ended_s
    assert emulator.graphs["batch"].ended_s


@pytest.mark.parametrize("leader_change_s", [float("inf"), 2.75], ids=["", "new leader"])
@pytest.mark.parametrize("second_arrival_s", [2.0, 2.5, 3.5])
@pytest.mark.parametrize("guaranteed", [0, 32])
def test_two_urgent_gangs_for_one_rack(
    second_arrival_s: float, guaranteed: int, leader_change_s: float
) -> None:
    """Guards against a chain in which a gang that has displaced others is displaced itself.

    A gang of ten tasks displaced 58 runs, and was then displaced for another gang.
    """
    batch = plan_job(REVIEW, "batch", 0.0, FULL, 1, 30.0)
    first = plan_job(QUOTE, "first", 2.0, 4, ACCELERATORS, 4.0)
    second = plan_job(QUOTE, "second", second_arrival_s, 4, ACCELERATORS, 4.0)
    emulator, policy = play([batch, first, second], guaranteed, leader_change_s=leader_change_s)
    gangs = {task.graph_id for task in policy.displaced_tasks} - {"batch"}
    assert not gangs
    assert max(policy.displaced_tasks.values(), default=1) == 1
    assert emulator.graphs["first"].ended_s
    assert emulator.graphs["second"].ended_s


def test_one_large_task_is_stopped_rather_than_four_small_ones() -> None:
    """Guards against four stops on a worker where one suffices and loses as much work."""
    large = plan_job(REVIEW, "large", 0.0, 1, 4, 30.0)
    small = plan_job(REVIEW, "small", 0.0, 4, 1, 30.0)
    urgent = plan_job(QUOTE, "urgent", 3.0, 1, 4, 4.0)
    policy = CheckedPolicy(RULES)
    FleetEmulator(replace(SHEET, workers=1), [large, small, urgent], policy).run()
    assert {task.graph_id for task in policy.displaced_tasks} == {"large"}
