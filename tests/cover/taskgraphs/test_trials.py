"""Placement of tasks that may crash the worker that starts them."""

import pytest

from cicadatray.scheduling.taskgraphs.placement_round import PlacementRound
from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.run_outcome import RunOutcome
from cicadatray.scheduling.taskgraphs.step import Step
from cicadatray.scheduling.taskgraphs.wait_reason import WaitReason
from cicadatray.scheduling.taskgraphs.waiting_work import WaitingWork
from cover.taskgraphs.placement_helpers import (
    ONE,
    WHOLE,
    make_graph,
    make_running,
    make_waiting,
    make_workers,
)

LATE_S = 30.0
SINGLE = Step(1, ONE, 5.0)


def make_suspect(
    step: Step = SINGLE, graph_id: str = "suspect", priority: int = 1
) -> list[WaitingWork]:
    """Returns the waiting work of a graph under whose every task a worker has crashed."""
    graph = make_graph(graph_id, step, priority)
    works = []
    for work in make_waiting(step, priority, graph_id=graph_id):
        for index in work.indexes:
            graph.record_start(work.task(index), 1, "gone")
            graph.record_end(work.task(index), 1, "gone", RunOutcome.CRASHED, "")
        works.append(
            WaitingWork(graph, work.occurrence, work.step_number, work.indexes, 2, work.ready_s)
        )
    return works


@pytest.mark.parametrize(
    ("busy", "expected"), [(["w0"], ["w1"]), (["w0", "w1"], [])], ids=["one idle", "none idle"]
)
def test_suspect_task_starts_on_an_idle_worker(busy: list[str], expected: list[str]) -> None:
    """Guards against a crash that takes the running work of other jobs along."""
    workers = make_workers((2,))
    running = [make_running(workers, [(name, ONE)], f"runs on {name}") for name in busy]
    plan = PlacementRound(workers, running, 0.0).run(make_suspect())
    assert [a.worker_id for a in plan.assignments] == expected
    assert not plan.displaced
    if not expected:
        assert plan.waits["queue"].reason is WaitReason.MUST_START_ALONE


def test_worker_with_a_suspect_task_accepts_nothing_else() -> None:
    """Guards against work that is placed beside a suspect task in the same or a later round."""
    workers = make_workers((1, 1))
    suspect = make_suspect(priority=0)
    others = make_waiting(Step(12, ONE, 5.0), 2)
    plan = PlacementRound(workers, [], 0.0).run([*suspect, *others])
    places = {a.run.task.graph_id: a.worker_id for a in plan.assignments}
    on_trial = places.pop("suspect")
    assert on_trial not in places.values()
    later = make_workers((1, 1))
    for worker in later:
        if worker.worker_id == on_trial:
            worker.begin_trial()
    plan = PlacementRound(later, [], 0.0).run([*make_waiting(Step(12, ONE, 5.0), 0), *others])
    assert on_trial not in {a.worker_id for a in plan.assignments}


@pytest.mark.parametrize(("workers", "trials"), [(1, 1), (3, 1), (4, 2), (11, 5)])
def test_trials_leave_half_of_the_pool_to_others(workers: int, trials: int) -> None:
    """Guards against a pool that serves nobody else while many tasks are suspected."""
    works = [work for n in range(20) for work in make_suspect(graph_id=f"suspect {n}")]
    plan = PlacementRound(make_workers((workers,)), [], 0.0).run(works)
    assert len({a.worker_id for a in plan.assignments}) == len(plan.assignments) == trials


@pytest.mark.parametrize("suspect", [0, 3], ids=["first", "last"])
@pytest.mark.parametrize("idle", [0, 1], ids=["no worker idle", "one worker idle"])
def test_suspect_task_and_the_rest_of_its_step_do_not_wait_for_each_other(
    suspect: int, idle: int
) -> None:
    """Guards against a job whose tasks all wait until one of them has started alone."""
    workers = make_workers((2 + idle,))
    running = [make_running(workers, [(name, ONE)], f"runs on {name}") for name in ("w0", "w1")]
    works = make_waiting(Step(4, ONE, 5.0), 1)
    graph, task = works[0].graph, works[suspect].task(suspect)
    graph.record_start(task, 1, "gone")
    graph.record_end(task, 1, "gone", RunOutcome.CRASHED, "")
    works[suspect].run = 2
    plan = PlacementRound(workers, running, 0.0).run(works)
    placed = {a.run.task.index for a in plan.assignments}
    assert placed == set(range(4)) - ({suspect} if not idle else set())


def test_suspect_gang_starts_on_idle_workers_together() -> None:
    """Guards against a gang that can never start because its workers exceed the share of trials."""
    gang = Step(3, WHOLE, 5.0, is_gang=True)
    plan = PlacementRound(make_workers((4,)), [], 0.0).run(make_suspect(gang))
    assert len({a.worker_id for a in plan.assignments}) == 3


@pytest.mark.parametrize("now_s", [0.0, LATE_S], ids=["in time", "late"])
def test_worker_that_becomes_idle_first_is_kept_for_a_suspect_task(now_s: float) -> None:
    """Guards against a suspect task that waits for good because others refill every worker."""
    workers = make_workers((2,))
    running = [
        make_running(workers, [("w0", ONE)], "soon", percent=90),
        make_running(workers, [("w1", ONE)], "later", percent=10),
    ]
    small = make_waiting(Step(20, Resources(1_000, 1_000, 1), 5.0), 1, accepted_s=now_s)
    plan = PlacementRound(workers, running, now_s).run([*make_suspect(), *small])
    assert {a.worker_id for a in plan.assignments} == {"w1"}
