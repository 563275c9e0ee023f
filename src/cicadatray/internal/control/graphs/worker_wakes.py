"""Wakes the waiting calls of agents, so that they check for new orders."""

from collections.abc import Iterable

from cicadatray.internal.control.graphs.graph_session import GraphSession


def wake_workers_of(session: GraphSession, graph_ids: Iterable[str]) -> None:
    """Wakes the calls of the agents on whose workers runs of these graphs may exist."""
    for graph_id in graph_ids:
        progress = session.graphs.get(graph_id)
        for worker_id in progress.index.workers() if progress is not None else ():
            worker = session.workers.get(worker_id)
            if worker is not None:
                worker.wake.set()


def wake_all(session: GraphSession) -> None:
    """Wakes the calls of all agents."""
    for worker in session.workers.values():
        worker.wake.set()
