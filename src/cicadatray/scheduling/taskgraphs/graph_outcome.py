"""Classifies the end of a graph against its objective."""

from enum import Enum

from cicadatray.scheduling.taskgraphs.graph_progress import GraphProgress
from cicadatray.scheduling.taskgraphs.job_value import MAX_LATENESS_FACTOR


class GraphOutcome(Enum):
    """The outcome of a graph.

    `TOO_LATE` means that all tasks were done, but so late that the result has no value any more.
    """

    ON_TIME = "on_time"
    LATE = "late"
    TOO_LATE = "too_late"
    FAILED = "failed"
    CANCELLED = "cancelled"


def classify_graph(progress: GraphProgress, objective_s: float) -> GraphOutcome:
    """Returns the outcome of an ended graph that may take `objective_s` for each occurrence.

    The last occurrence decides for a repeated graph.
    """
    if progress.is_cancelled:
        return GraphOutcome.CANCELLED
    if progress.failure:
        return GraphOutcome.FAILED
    graph = progress.graph
    begin_s = graph.due_s(graph.occurrences - 1) or progress.accepted_s
    took_s = progress.ended_s - begin_s
    if took_s <= objective_s:
        return GraphOutcome.ON_TIME
    has_value = took_s <= MAX_LATENESS_FACTOR * objective_s
    return GraphOutcome.LATE if has_value else GraphOutcome.TOO_LATE
