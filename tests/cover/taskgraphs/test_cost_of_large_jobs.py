"""Tests that the work of a round does not grow faster than the accepted jobs."""

import msgspec
import pytest

from cicadatray.scheduling.taskgraphs.graph_progress import (
    GraphProgress,
    StepProgress,
    TaskProgress,
)
from cicadatray.scheduling.taskgraphs.pool_capacity import PoolCapacity
from cicadatray.scheduling.taskgraphs.queue_policy import QueuePolicy
from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.run_outcome import RunOutcome
from cicadatray.scheduling.taskgraphs.step import Step
from cicadatray.scheduling.taskgraphs.task_graph import Repetition, TaskGraph
from cicadatray.scheduling.taskgraphs.task_id import TaskId
from cicadatray.scheduling.taskgraphs.waiting_work import WaitingWork
from cicadatray.scheduling.taskgraphs.worker_limits import remaining_limits
from cover.taskgraphs.placement_helpers import make_workers

POLICY = QueuePolicy("queue", "pool", 1, 3, 3.0, 1.0)
SMALL = Resources(1000, 64, 1)
CAPACITY = Resources(64_000, 128_000, 8)
STEPS = 200


class CountingSteps(tuple[Step, ...]):
    """Counts passes over the steps and look-ups of single steps."""

    reads = 0

    def __getitem__(self, number):  # type: ignore[no-untyped-def]
        CountingSteps.reads += 1
        return super().__getitem__(number)

    def __iter__(self):  # type: ignore[no-untyped-def]
        CountingSteps.reads += len(self)
        return super().__iter__()


class CountingTasks(dict[str, TaskProgress]):
    """Counts look-ups of tasks and passes over them."""

    reads = 0

    def get(self, *key):  # type: ignore[no-untyped-def]
        CountingTasks.reads += 1
        return super().get(*key)

    def setdefault(self, *item):  # type: ignore[no-untyped-def]
        CountingTasks.reads += 1
        return super().setdefault(*item)

    def items(self):  # type: ignore[no-untyped-def]
        CountingTasks.reads += len(self)
        return super().items()

    def values(self):  # type: ignore[no-untyped-def]
        CountingTasks.reads += len(self)
        return super().values()


def begun(step: Step, repetition: Repetition | None = None) -> GraphProgress:
    """Returns a graph all of whose tasks have been started on one worker."""
    graph = TaskGraph("g", "a", POLICY, "", (step,), repetition)
    progress = GraphProgress(graph, 0.0, tasks=CountingTasks())
    for task in tasks_of(progress):
        assert progress.record_start(task, 1, "w0")
    return progress


def tasks_of(progress: GraphProgress) -> list[TaskId]:
    graph = progress.graph
    return [
        TaskId("g", occurrence, 0, index)
        for occurrence in range(graph.occurrences)
        for index in range(graph.steps[0].count)
    ]


def test_limits_of_a_step_need_no_pass_over_its_tasks() -> None:
    """Guards against an urgent step with a limit per worker that holds up all rounds.

    600 urgent tasks with a limit counted all tasks of the step for each of them.
    """
    progress = begun(Step(STEPS, SMALL, 1.0, max_per_worker=250))
    CountingTasks.reads = 0
    work = WaitingWork(progress, 0, 0, (0,), 1, 0.0)
    assert remaining_limits(work, make_workers([2]), {"w1": 3}) == {"w0": 50, "w1": 247}
    assert CountingTasks.reads == 0


def test_ends_of_a_gang_mark_its_members_once() -> None:
    """Guards against a gang whose ends take time with the square of its members."""
    progress = begun(Step(STEPS, SMALL, 1.0, is_gang=True))
    CountingTasks.reads = 0
    for task in tasks_of(progress):
        assert progress.is_gang_complete(task, 1) == (task.index == 0)
        assert not progress.is_suspect(task)
        assert progress.record_end(task, 1, "w0", RunOutcome.DONE, "")
    assert progress.is_step_done(0, 0)
    assert not progress.has_runs
    assert CountingTasks.reads <= 4 * STEPS


def test_end_of_a_task_looks_at_no_other_occurrence() -> None:
    """Guards against a job due many times whose ends each look at all occurrences.

    The ends are applied on the event loop of each control instance.
    """
    progress = begun(Step(1, SMALL, 1.0), Repetition(STEPS, 1.0, 1.0))
    reads = 0

    class CountingCounters(dict[str, StepProgress]):
        def get(self, *key):  # type: ignore[no-untyped-def]
            nonlocal reads
            reads += 1
            return super().get(*key)

    progress.steps = CountingCounters()
    for task in tasks_of(progress):
        assert not progress.ended_s
        assert progress.record_end(task, 1, "w0", RunOutcome.DONE, "")
        progress.finish_if_done(9.0)
    assert progress.ended_s == 9.0
    assert reads <= STEPS


def test_counts_are_the_same_after_a_snapshot() -> None:
    """Guards against a graph that never ends, or a gang taken for broken, under a new leader."""
    for step in (Step(3, SMALL, 1.0), Step(3, SMALL, 1.0, is_gang=True, max_per_worker=2)):
        progress = begun(step, Repetition(2, 1.0, 1.0))
        tasks = tasks_of(progress)
        for task in tasks[:3]:
            progress.record_end(task, 1, "w0", RunOutcome.DONE, "")
        progress.record_end(tasks[4], 1, "w0", RunOutcome.CRASHED, "")
        restored = msgspec.msgpack.decode(msgspec.msgpack.encode(progress), type=GraphProgress)
        for name in progress.index.__slots__:
            kept = getattr(progress.index, name)
            kept = {k: v for k, v in kept.items() if v} if isinstance(kept, dict) else kept
            assert getattr(restored.index, name) == kept, name


def test_ranking_of_all_steps_computes_the_critical_paths_once() -> None:
    """Guards against a round whose time grows with the square of the steps of a job.

    One job of 2,000 steps held up the event loop for 1.5 s in each round, so that each new leader
    was deposed.
    """
    steps = CountingSteps([Step(1, SMALL, 1.0)] * STEPS)
    progress = GraphProgress(TaskGraph("g", "a", POLICY, "", steps), 0.0)
    pool = PoolCapacity()
    pool.add(CAPACITY)
    CountingSteps.reads = 0
    for number in range(STEPS):
        work = WaitingWork(progress, 0, number, (0,), 1, 0.0)
        work.waves = pool.graph_waves(progress.graph)
        work.rank(1.0)
    assert CountingSteps.reads <= 4 * STEPS


@pytest.mark.parametrize("workers", [1, 2, 3])
def test_times_follow_the_capacity_of_the_pool(workers: int) -> None:
    """Guards against deadlines that are kept from an earlier capacity of the pool."""
    graph = TaskGraph("g", "a", POLICY, "", (Step(24, SMALL, 10.0), Step(1, SMALL, 1.0)))
    pool = PoolCapacity()
    for _ in range(workers):
        pool.add(CAPACITY)
        waves = pool.graph_waves(graph)
    expected = max(1.0, 24 / (2 * workers))
    assert waves == (expected, 1.0)
    assert graph.critical_path_from_s(0, waves) == 10.0 * expected
    assert graph.critical_path_from_s(0) == 10.0
    assert graph.critical_path_s(waves) == 10.0 * expected
