"""Why placement and the log say that work waits."""

from collections.abc import Callable

import pytest

from cicadatray.scheduling.taskgraphs.graph_progress import GraphProgress
from cicadatray.scheduling.taskgraphs.placement_plan import PlacementPlan
from cicadatray.scheduling.taskgraphs.placement_round import PlacementRound
from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.run_outcome import RunOutcome
from cicadatray.scheduling.taskgraphs.step import Step
from cicadatray.scheduling.taskgraphs.task_graph import Repetition, TaskGraph
from cicadatray.scheduling.taskgraphs.task_id import TaskId, TaskRun
from cicadatray.scheduling.taskgraphs.wait_outside_placement import explain_unready
from cicadatray.scheduling.taskgraphs.wait_reason import WaitReason
from cicadatray.scheduling.taskgraphs.worker_room import WorkerCapacity
from cover.taskgraphs.placement_helpers import (
    HALF,
    ONE,
    WHOLE,
    make_graph,
    make_running,
    make_waiting,
    make_workers,
)

HUGE = Resources(1_000, 1_000, 9)
NOW_S = 1.0


def _fill(workers: list[WorkerCapacity]) -> None:
    for worker in workers:
        worker.occupy(WHOLE)


def _fill_halves(workers: list[WorkerCapacity]) -> None:
    for worker in workers:
        worker.occupy(HALF)


def _stop_all(workers: list[WorkerCapacity]) -> None:
    for worker in workers:
        worker.occupy(WHOLE, is_stopping=True)


def _close_all(workers: list[WorkerCapacity]) -> None:
    for worker in workers:
        worker.is_closed = True


def _fill_rack_0(workers: list[WorkerCapacity]) -> None:
    _fill([worker for worker in workers if worker.rack == "r0"])


def _one_left_in_each_rack(workers: list[WorkerCapacity]) -> None:
    _fill(workers[::2])


def _only_suspects_free(workers: list[WorkerCapacity]) -> None:
    for worker in workers[1:]:
        worker.is_suspect = True
    _fill(workers[:1])


def _other_pool(workers: list[WorkerCapacity]) -> None:
    for worker in workers:
        worker.pool = "other"


def _nothing(workers: list[WorkerCapacity]) -> None:
    """Leaves all workers empty."""


@pytest.mark.parametrize(
    ("step", "prepare", "reason"),
    [
        (Step(1, ONE, 5.0), _other_pool, WaitReason.NO_WORKER_OF_POOL),
        (Step(1, ONE, 5.0, required_label="z"), _nothing, WaitReason.NO_WORKER_WITH_LABEL),
        (Step(1, HUGE, 5.0), _nothing, WaitReason.LARGER_THAN_WORKERS),
        (Step(5, WHOLE, 5.0, is_gang=True), _nothing, WaitReason.LARGER_THAN_WORKERS),
        (Step(1, WHOLE, 5.0), _stop_all, WaitReason.ROOM_BEING_FREED),
        (Step(1, WHOLE, 5.0), _close_all, WaitReason.ROOM_KEPT),
        (Step(1, ONE, 5.0, data_rack="r0"), _fill_rack_0, WaitReason.DATA_RACK),
        (
            Step(2, WHOLE, 5.0, is_gang=True, is_rack_local=True),
            _one_left_in_each_rack,
            WaitReason.ONE_RACK,
        ),
        (Step(1, WHOLE, 5.0), _only_suspects_free, WaitReason.SUSPECT_WORKERS),
        (Step(1, WHOLE, 5.0), _fill_halves, WaitReason.ROOM_SCATTERED),
        (Step(3, WHOLE, 5.0, is_gang=True), _one_left_in_each_rack, WaitReason.NO_ROOM),
        (Step(1, ONE, 5.0), _fill, WaitReason.NO_ROOM),
    ],
    ids=lambda value: value.name if isinstance(value, WaitReason) else "",
)
def test_reason_of_work_that_is_not_placed(
    step: Step, prepare: Callable[[list[WorkerCapacity]], None], reason: WaitReason
) -> None:
    """A queue that was served late showed only that its work waited, not what it lacked."""
    workers = make_workers((2, 2))
    prepare(workers)
    plan = PlacementRound(workers, [], NOW_S).run(make_waiting(step, 2))
    assert plan.assignments == []
    assert plan.waits["queue"].reason is reason


def test_limit_of_each_worker_is_a_reason() -> None:
    """Work with free workers around it looked like a fault of placement."""
    step = Step(3, ONE, 5.0, max_per_worker=1)
    workers = make_workers((2,))
    plan = PlacementRound(workers, [], NOW_S).run(make_waiting(step, 2))
    assert len(plan.assignments) == 2
    assert plan.waits["queue"].reason is WaitReason.WORKER_LIMIT


def _round(order: int) -> PlacementPlan:
    """Returns the plan for work of several ages, handed over in one of two orders."""
    workers = make_workers((2,))
    running = [make_running(workers, [("w0", WHOLE), ("w1", HALF)])]
    waiting = [
        *make_waiting(Step(2, WHOLE, 5.0, is_gang=True), 1, 0.8, "younger"),
        *make_waiting(Step(2, WHOLE, 50.0, is_gang=True), 2, 0.1, "oldest"),
        *make_waiting(Step(2, ONE, 5.0), 2, 0.5, "small"),
    ]
    return PlacementRound(workers, running, NOW_S).run(waiting[::order])


def test_oldest_work_of_a_queue_is_named() -> None:
    """The line of a queue must not name work that has just come while older work waits."""
    for order in (1, -1):
        plan = _round(order)
        assert plan.waits["queue"].work.graph.graph.graph_id == "oldest"
        assert plan.assignments == []


def _repeated(progress: GraphProgress, count: int) -> GraphProgress:
    graph = progress.graph
    repetition = Repetition(count, 10.0, 10.0)
    return GraphProgress(
        TaskGraph(graph.graph_id, "account", graph.policy, "spec", graph.steps, repetition), 0.0
    )


@pytest.mark.parametrize(
    ("is_repeated", "is_started", "is_done", "is_wanted", "now_s", "reason"),
    [
        (False, False, False, True, 5.0, None),
        (False, True, False, True, 5.0, None),
        (False, True, False, False, 5.0, WaitReason.FORMER_RUN),
        (True, False, False, True, 5.0, WaitReason.NOT_DUE),
        (True, False, False, True, 10.0, None),
        (True, True, False, True, 15.0, None),
        (True, True, True, True, 15.0, WaitReason.NOT_DUE),
        (True, True, True, True, 25.0, None),
    ],
)
def test_reason_of_a_graph_without_ready_work(
    is_repeated: bool,
    is_started: bool,
    is_done: bool,
    is_wanted: bool,
    now_s: float,
    reason: WaitReason | None,
) -> None:
    """A graph that placement does not see at all gave no reason."""
    progress = make_graph("g", Step(1, ONE, 5.0), 2)
    if is_repeated:
        progress = _repeated(progress, 3)
    task = TaskId("g", 0, 0, 0)
    if is_started:
        assert progress.record_start(task, 1, "w")
    if is_done:
        assert progress.record_end(task, 1, "w", RunOutcome.DONE, "")
    asked: list[TaskRun] = []

    def wanted(run: TaskRun) -> bool:
        asked.append(run)
        return is_wanted

    assert explain_unready(progress, now_s, wanted) is reason
    assert asked == ([TaskRun(task, 1)] if is_started and not is_done else [])
    progress.is_cancelled = True
    assert explain_unready(progress, now_s, wanted) is None
