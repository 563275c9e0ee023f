"""Effects of starts and ends on the durable progress of a graph."""

import pytest

from cicadatray.scheduling.taskgraphs.graph_progress import GraphProgress
from cicadatray.scheduling.taskgraphs.ready_work import find_ready_work
from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.run_outcome import RunOutcome
from cicadatray.scheduling.taskgraphs.step import Step
from cicadatray.scheduling.taskgraphs.task_graph import Repetition, TaskGraph
from cicadatray.scheduling.taskgraphs.task_id import TaskId
from cover.taskgraphs.placement_helpers import ONE, make_graph

GANG = Step(2, ONE, 4.0, is_gang=True, is_checkpointable=True)
PLAIN = Step(2, ONE, 4.0)


def task(index: int, occurrence: int = 0, step: int = 0) -> TaskId:
    return TaskId("g", occurrence, step, index)


def start(graph: GraphProgress, index: int, run: int = 1) -> bool:
    return graph.record_start(task(index), run, "w")


def end(graph: GraphProgress, index: int, outcome: RunOutcome, run: int = 1) -> bool:
    return graph.record_end(task(index), run, "w", outcome, "")


def test_one_done_member_completes_its_gang() -> None:
    """Workers report the end of a gang for one member only.

    Waiting for the other members would run the gang again.
    """
    graph = make_graph("g", GANG, 1)
    assert start(graph, 0) and start(graph, 1)
    end(graph, 0, RunOutcome.DONE)
    assert graph.is_step_done(0, 0)
    assert list(find_ready_work(graph, 0.0)) == []


def test_gang_starts_again_only_when_no_member_may_still_run() -> None:
    """A member behind a partition runs until its lease expires.

    Starting it again before that would run it twice at the same time.
    """
    graph = make_graph("g", GANG, 1)
    start(graph, 0)
    start(graph, 1)
    end(graph, 0, RunOutcome.LOST)
    assert list(find_ready_work(graph, 0.0)) == []
    end(graph, 1, RunOutcome.PARTNER_ENDED)
    assert [work.run for work in find_ready_work(graph, 0.0)] == [2]


@pytest.mark.parametrize(
    ("run", "worker_id"), [(2, "w"), (1, "other")], ids=["another run", "another worker"]
)
def test_end_of_another_run_changes_nothing(run: int, worker_id: str) -> None:
    """A repeated or late report of an end must not allow a second start of the task."""
    graph = make_graph("g", PLAIN, 1)
    start(graph, 0)
    assert not graph.record_end(task(0), run, worker_id, RunOutcome.DONE, "")
    assert graph.tasks["0.0.0"].worker_id == "w"


@pytest.mark.parametrize("outcome", sorted(set(RunOutcome) - {RunOutcome.DONE}, key=str))
def test_only_failures_and_crashes_count_as_attempts(outcome: RunOutcome) -> None:
    """Displacement or the loss of a worker must not consume an attempt of the task."""
    graph = make_graph("g", PLAIN, 1)
    for run in range(1, 4):
        assert start(graph, 0, run)
        end(graph, 0, outcome, run)
    is_counted = outcome in (RunOutcome.FAILED, RunOutcome.CRASHED)
    assert bool(graph.failure) is is_counted
    assert start(graph, 0, 4) is not is_counted


def test_failures_of_a_gang_count_once_a_run() -> None:
    """Two members that fail in the same run consume one attempt of the gang."""
    graph = make_graph("g", GANG, 1)
    for run in (1, 2):
        start(graph, 0, run)
        start(graph, 1, run)
        end(graph, 0, RunOutcome.FAILED, run)
        end(graph, 1, RunOutcome.FAILED, run)
    assert graph.steps["0.0"].gang_failures == 2
    assert not graph.failure


def test_members_of_a_gang_resume_from_one_checkpoint() -> None:
    """Workers refuse gang members that resume from different checkpoints."""
    graph = make_graph("g", GANG, 1)
    start(graph, 0)
    start(graph, 1)
    graph.record_end(task(0), 1, "w", RunOutcome.STOPPED, "a")
    graph.record_end(task(1), 1, "w", RunOutcome.STOPPED, "b")
    assert {progress.checkpoint for progress in graph.tasks.values()} == {"b"}


def test_checkpoint_of_a_former_run_is_ignored() -> None:
    """A report that arrives after the end of its run must not replace the newer checkpoint."""
    graph = make_graph("g", PLAIN, 1)
    start(graph, 0)
    graph.record_end(task(0), 1, "w", RunOutcome.STOPPED, "newer")
    graph.record_checkpoint(task(0), 1, "older")
    assert graph.tasks["0.0.0"].checkpoint == "newer"


def test_steps_wait_for_those_that_they_depend_on() -> None:
    """A step must not start before its inputs exist, even on idle workers."""
    steps = (Step(1, ONE, 1.0), Step(1, ONE, 1.0), Step(1, ONE, 1.0, depends_on=(0, 1)))
    policy = make_graph("g", PLAIN, 1).graph.policy
    graph = GraphProgress(TaskGraph("g", "a", policy, "", steps), 0.0)
    assert {work.step_number for work in find_ready_work(graph, 0.0)} == {0, 1}
    for step in (0, 1):
        graph.record_start(task(0, step=step), 1, "w")
        graph.record_end(task(0, step=step), 1, "w", RunOutcome.DONE, "")
    assert {work.step_number for work in find_ready_work(graph, 0.0)} == {2}


@pytest.mark.parametrize(("now_s", "occurrences"), [(99.9, []), (100.0, [0]), (111.0, [0, 1])])
def test_occurrences_start_when_they_are_due(now_s: float, occurrences: list[int]) -> None:
    """An occurrence must not start before its due time, because its data may not exist yet."""
    policy = make_graph("g", PLAIN, 1).graph.policy
    graph = TaskGraph("g", "a", policy, "", (Step(1, ONE, 1.0),), Repetition(3, 100.0, 10.0))
    progress = GraphProgress(graph, 0.0)
    assert [work.occurrence for work in find_ready_work(progress, now_s)] == occurrences


def test_long_running_tasks_start_again_however_they_end() -> None:
    """A long-running task is restarted after any end, without consuming attempts."""
    graph = make_graph("g", Step(1, ONE, 1.0, is_long_running=True), 1)
    for run, outcome in enumerate((RunOutcome.DONE, *[RunOutcome.FAILED] * 4), 1):
        assert start(graph, 0, run)
        end(graph, 0, outcome, run)
    graph.finish_if_done(1.0)
    assert graph.is_active
    assert [work.run for work in find_ready_work(graph, 0.0)] == [6]


@pytest.mark.parametrize(
    ("demand", "available", "count"),
    [
        (Resources(2, 2, 2), Resources(8, 5, 9), 2),
        (Resources(0, 0, 3), Resources(0, 0, 8), 2),
        (Resources(1, 1, 1), Resources(-1, 5, 5), 0),
    ],
)
def test_fit_count(demand: Resources, available: Resources, count: int) -> None:
    """Negative available amounts, or a demand of zero, must not add to the count."""
    assert demand.fit_count(available) == count
