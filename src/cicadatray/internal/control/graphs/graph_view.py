"""The state of a graph as reported to callers."""

from cicadatray.internal.wire.messages.graph_messages import GraphState
from cicadatray.scheduling.taskgraphs.graph_progress import GraphProgress

QUEUED = "queued"
RUNNING = "running"
DONE = "done"
FAILED = "failed"
CANCELLED = "cancelled"


def view_graph(progress: GraphProgress) -> GraphState:
    """Returns the state of a graph as reported to callers."""
    return GraphState(graph_id=progress.graph.graph_id, state=_state(progress))


def _state(progress: GraphProgress) -> str:
    if progress.is_cancelled:
        return CANCELLED
    if progress.failure:
        return FAILED
    if progress.ended_s:
        return DONE
    return RUNNING if progress.has_begun else QUEUED
