"""How a graph ended, measured by its objective."""

from enum import Enum

from cicadatray.scheduling.taskgraphs.graph_progress import GraphProgress
from cicadatray.scheduling.taskgraphs.job_value import MAX_LATENESS_FACTOR


class GraphOutcome(Enum):
    """`TOO_LATE` is a graph that is done, but worth nothing any more."""

    ON_TIME = "on_time"
    LATE = "late"
    TOO_LATE = "too_late"
    FAILED = "failed"
    CANCELLED = "cancelled"


def judge_graph(progress: GraphProgress) -> GraphOutcome:
    """Returns the outcome of a graph that has ended; a repeated one is judged by its last turn."""
    if progress.is_cancelled:
        return GraphOutcome.CANCELLED
    if progress.failure:
        return GraphOutcome.FAILED
    graph = progress.graph
    begin_s = graph.due_s(graph.occurrences - 1) or progress.accepted_s
    took_s = progress.ended_s - begin_s
    if took_s <= graph.objective_s():
        return GraphOutcome.ON_TIME
    is_worth_it = took_s <= MAX_LATENESS_FACTOR * graph.objective_s()
    return GraphOutcome.LATE if is_worth_it else GraphOutcome.TOO_LATE
