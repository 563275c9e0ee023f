"""Classification of the end of a graph."""

import pytest

from cicadatray.scheduling.taskgraphs.graph_outcome import GraphOutcome, classify_graph
from cicadatray.scheduling.taskgraphs.graph_progress import GraphProgress
from cicadatray.scheduling.taskgraphs.step import Step
from cicadatray.scheduling.taskgraphs.task_graph import Repetition, TaskGraph
from cover.taskgraphs.placement_helpers import ONE, make_graph

ACCEPTED_S = 100.0
# Three times the estimate of 4 s, plus the target latency of the helper's queue.
OBJECTIVE_S = 12.25


@pytest.mark.parametrize(
    ("took_s", "first_due_s", "fields", "outcome"),
    [
        (OBJECTIVE_S, 0.0, {}, GraphOutcome.ON_TIME),
        (OBJECTIVE_S + 0.01, 0.0, {}, GraphOutcome.LATE),
        (3 * OBJECTIVE_S, 0.0, {}, GraphOutcome.LATE),
        (3 * OBJECTIVE_S + 0.01, 0.0, {}, GraphOutcome.TOO_LATE),
        (70.0, ACCEPTED_S + 50.0, {}, GraphOutcome.ON_TIME),
        (75.0, ACCEPTED_S + 50.0, {}, GraphOutcome.LATE),
        (1.0, 0.0, {"failure": "task 0.0.0 failed 3 times"}, GraphOutcome.FAILED),
        (1.0, 0.0, {"is_cancelled": True}, GraphOutcome.CANCELLED),
        (1.0, 0.0, {"is_cancelled": True, "failure": "before"}, GraphOutcome.CANCELLED),
    ],
)
def test_outcome_by_objective(
    took_s: float, first_due_s: float, fields: dict[str, object], outcome: GraphOutcome
) -> None:
    """A graph that is done late must not be classified as on time."""
    progress = make_graph("g", Step(1, ONE, 4.0), 2, ACCEPTED_S)
    graph = progress.graph
    if first_due_s:
        repetition = Repetition(2, first_due_s, 10.0)
        graph = TaskGraph("g", "account", graph.policy, "spec", graph.steps, repetition)
    assert graph.objective_s() == OBJECTIVE_S
    progress = GraphProgress(graph, ACCEPTED_S, ended_s=ACCEPTED_S + took_s)
    for name, value in fields.items():
        setattr(progress, name, value)
    assert classify_graph(progress, graph.objective_s()) is outcome
