"""The ended graphs that clients need not read any more."""

from collections.abc import Mapping

from cicadatray.scheduling.taskgraphs.graph_progress import GraphProgress

# The retention period of ended graphs, during which clients can read them.
ENDED_RETENTION_S = 150.0


def find_expired_graphs(graphs: Mapping[str, GraphProgress], now_s: float) -> tuple[str, ...]:
    """Returns the graphs that ended a retention period ago and have no run that may exist."""
    return tuple(
        graph_id
        for graph_id, progress in graphs.items()
        if progress.ended_s
        and now_s - progress.ended_s > ENDED_RETENTION_S
        and not progress.has_runs
    )
