"""Tests of the amount of work that one graph offers to a round."""

import pytest

from cicadatray.scheduling.taskgraphs.graph_progress import GraphProgress
from cicadatray.scheduling.taskgraphs.queue_policy import QueuePolicy
from cicadatray.scheduling.taskgraphs.ready_work import MAX_READY_TASKS, find_ready_work
from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.run_outcome import RunOutcome
from cicadatray.scheduling.taskgraphs.step import Step
from cicadatray.scheduling.taskgraphs.task_graph import Repetition, TaskGraph

POLICY = QueuePolicy("queue", "pool", 1, 3, 3.0, 1.0)
TASKS = 100
OCCURRENCES = 10_000


def make_graph(is_gang: bool, interval_s: float) -> GraphProgress:
    step = Step(TASKS, Resources(1, 1, 1), 1.0, is_gang=is_gang)
    graph = TaskGraph("g", "a", POLICY, "", (step,), Repetition(OCCURRENCES, 0.0, interval_s))
    return GraphProgress(graph, 0.0)


@pytest.mark.parametrize("is_gang", [True, False], ids=["gang", "single tasks"])
def test_occurrences_that_are_due_at_once_do_not_block_the_leader(is_gang: bool) -> None:
    """Guards against a round that lists a million tasks of one job while no agent is answered."""
    graph = make_graph(is_gang, interval_s=0.0)
    ready = list(find_ready_work(graph, 1.0))
    assert sum(len(work.indexes) for work in ready) == MAX_READY_TASKS
    assert [work.occurrence for work in ready] == sorted(work.occurrence for work in ready)


def test_later_occurrences_follow_when_earlier_ones_are_done() -> None:
    """Guards against occurrences that never start because of the limit."""
    graph = make_graph(is_gang=True, interval_s=0.0)
    first = next(iter(find_ready_work(graph, 1.0)))
    for index in first.indexes:
        assert graph.record_start(first.task(index), 1, "w")
    for index in first.indexes:
        assert graph.record_end(first.task(index), 1, "w", RunOutcome.DONE, "")
    occurrences = {work.occurrence for work in find_ready_work(graph, 1.0)}
    assert 0 not in occurrences
    assert max(occurrences) == MAX_READY_TASKS // TASKS
