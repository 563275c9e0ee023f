"""Tests that the work of a round does not grow faster than the accepted jobs."""

import pytest

from cicadatray.scheduling.taskgraphs.graph_progress import GraphProgress
from cicadatray.scheduling.taskgraphs.pool_capacity import PoolCapacity
from cicadatray.scheduling.taskgraphs.queue_policy import QueuePolicy
from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.step import Step
from cicadatray.scheduling.taskgraphs.task_graph import TaskGraph
from cicadatray.scheduling.taskgraphs.waiting_work import WaitingWork

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
