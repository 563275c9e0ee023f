"""Detection of work that waits although its pool has room for it."""

from collections.abc import Callable
from unittest.mock import patch

import pytest

from cicadatray.scheduling.taskgraphs.hold_memory import (
    LONGEST_ROUND_S,
    MAX_DIAGNOSES,
    HoldMemory,
)
from cicadatray.scheduling.taskgraphs.placement_round import PlacementRound
from cicadatray.scheduling.taskgraphs.rules.rule_memory import RuleMemory
from cicadatray.scheduling.taskgraphs.step import Step
from cicadatray.scheduling.taskgraphs.task_id import TaskId
from cicadatray.scheduling.taskgraphs.wait_diagnosis import WaitDiagnosis
from cicadatray.scheduling.taskgraphs.wait_reason import WaitReason
from cicadatray.scheduling.taskgraphs.worker_capacity import WorkerCapacity
from cover.taskgraphs.placement_helpers import CAPACITY, ONE, WHOLE, make_waiting, make_workers

SINGLE = Step(1, ONE, 10.0)
LASTING = Step(1, ONE, 10.0, data_rack="r0", is_long_running=True)
NEAR_DATA = Step(1, ONE, 10.0, data_rack="r0")
RACK_GANG = Step(2, WHOLE, 10.0, is_gang=True, is_rack_local=True)

Prepare = Callable[[list[WorkerCapacity]], None]


def fill(*names: str) -> Prepare:
    """Returns a function that fills the workers of these names."""

    def prepare(workers: list[WorkerCapacity]) -> None:
        for worker in workers:
            if worker.worker_id in names:
                worker.occupy(CAPACITY)

    return prepare


def reserve_all(workers: list[WorkerCapacity]) -> None:
    for worker in workers:
        worker.is_reserved = True


def guarantee_all(workers: list[WorkerCapacity]) -> None:
    guaranteed = make_waiting(SINGLE, 0, graph_id="guaranteed")
    guaranteed[0].is_guaranteed = True
    for worker in workers:
        worker.is_reserved = True
        worker.reserved_for = guaranteed[0]


@pytest.mark.parametrize(
    ("step", "prepare", "reason"),
    [
        (NEAR_DATA, fill("w0", "w1"), WaitReason.DATA_RACK),
        (SINGLE, reserve_all, WaitReason.ROOM_KEPT),
        (LASTING, fill("w0", "w1", "w2", "w3"), WaitReason.DATA_RACK),
        (SINGLE, guarantee_all, None),
        (NEAR_DATA, fill("w0", "w1", "w2", "w3"), None),
        (SINGLE, fill("w0", "w1", "w2", "w3", "w4", "w5"), None),
        (RACK_GANG, fill("w0", "w2", "w4"), None),
    ],
    ids=[
        "data rack is full",
        "room is kept",
        "task that lasts in a used pool",
        "room is guaranteed",
        "most of the pool is used",
        "no room",
        "room for it once",
    ],
)
def test_work_with_room_that_is_not_placed_is_held(
    step: Step, prepare: Prepare, reason: WaitReason | None
) -> None:
    """Guards against a job that rests for a preference and leaves no trace of it."""
    workers = make_workers((2, 2, 2))
    prepare(workers)
    plan = PlacementRound(workers, [], 0.0).run(make_waiting(step, 2))
    assert plan.assignments == []
    assert [held.reason for held in plan.held] == ([reason] if reason else [])


def test_work_of_a_job_that_runs_is_not_held() -> None:
    """Guards against reports about jobs that only have to wait with some of their tasks."""
    works = make_waiting(Step(2, ONE, 10.0, data_rack="r0"), 2)
    works[0].graph.record_start(TaskId("waits", 0, 0, 0), 1, "w0")
    workers = make_workers((2, 2, 2))
    fill("w0", "w1")(workers)
    assert PlacementRound(workers, [], 0.0).run(works[1:]).held == []


@pytest.mark.parametrize(
    ("times", "held_s"),
    [
        ((0.0, 0.25, 0.5), 0.5),
        ((10.0, 8.0, 8.25), 0.25),
        ((0.0, 100.0), LONGEST_ROUND_S),
    ],
    ids=["regular rounds", "clock set back", "clock set forward"],
)
def test_time_is_added_up_across_rounds(times: tuple[float, ...], held_s: float) -> None:
    """Guards against a hold that a step of the clock ends early or makes endless."""
    memory = RuleMemory()
    for now_s in times:
        workers = make_workers((2, 2, 2))
        reserve_all(workers)
        plan = PlacementRound(workers, [], now_s, memory=memory).run(make_waiting(SINGLE, 2, now_s))
    assert plan.held[0].held_s == pytest.approx(held_s)


def test_time_begins_anew_once_the_work_was_not_held() -> None:
    """Guards against work that counts as held for long because it was held at another time."""
    memory = RuleMemory()
    for now_s, is_held in ((0.0, True), (0.9, True), (1.0, False), (1.1, True)):
        workers = make_workers((2, 2, 2))
        (reserve_all if is_held else guarantee_all)(workers)
        plan = PlacementRound(workers, [], now_s, memory=memory).run(make_waiting(SINGLE, 2))
    assert plan.held[0].held_s == 0.0
    memory.get(HoldMemory).clear()
    assert not memory.get(HoldMemory).held_s


def test_few_reasons_are_diagnosed_in_one_round() -> None:
    """Guards against a leader that stands still while it finds out why many jobs are held."""
    memory = RuleMemory()
    jobs = [work for n in range(40) for work in make_waiting(NEAR_DATA, 2, graph_id=f"job {n}")]
    explain = WaitDiagnosis.explain
    diagnosed: list[WaitDiagnosis] = []

    def count(diagnosis: WaitDiagnosis) -> WaitReason:
        diagnosed.append(diagnosis)
        return explain(diagnosis)

    reported = []
    with patch.object(WaitDiagnosis, "explain", count):
        for number in range(3):
            diagnosed.clear()
            workers = make_workers((2, 2, 2))
            fill("w0", "w1")(workers)
            plan = PlacementRound(workers, [], number * 0.25, memory=memory).run(jobs)
            # One more is found for the oldest work of the only queue.
            assert len(diagnosed) <= MAX_DIAGNOSES + 1
            reported.append(len(plan.held))
    assert reported == [MAX_DIAGNOSES, 2 * MAX_DIAGNOSES, 3 * MAX_DIAGNOSES]
