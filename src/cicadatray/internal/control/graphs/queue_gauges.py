"""Counts of waiting and running tasks, read when the metrics are asked for."""

from collections.abc import Callable

from cicadatray.internal.control.graphs.graph_session import GraphSession
from cicadatray.internal.observability.metrics_registry import MetricsRegistry
from cicadatray.internal.observability.queue_metrics import tasks_running, tasks_waiting
from cicadatray.scheduling.taskgraphs.ready_work import find_ready_work

QueueCounts = dict[tuple[str, ...], float]


def register_queue_gauges(
    registry: MetricsRegistry, present: Callable[[], GraphSession | None]
) -> None:
    """Adds both gauges; they have no values while this instance does not lead."""

    def read(count: Callable[[GraphSession], QueueCounts]) -> QueueCounts:
        session = present()
        return count(session) if session is not None else {}

    tasks_waiting(registry).read_label_sets_from(lambda: read(count_waiting))
    tasks_running(registry).read_label_sets_from(lambda: read(count_running))


def count_waiting(session: GraphSession) -> QueueCounts:
    """Returns how many tasks of each queue could start, were there room."""
    counts = _all_queues(session)
    now_s = session.wall_s()
    for progress in session.graphs.values():
        for work in find_ready_work(progress, now_s):
            key = (progress.graph.policy.queue,)
            counts[key] = counts.get(key, 0) + len(work.indexes)
    return counts


def count_running(session: GraphSession) -> QueueCounts:
    """Returns how many runs of each queue may exist."""
    counts = _all_queues(session)
    for ordered in session.ordered.values():
        for run in ordered:
            progress = session.graphs.get(run.task.graph_id)
            if progress is not None:
                key = (progress.graph.policy.queue,)
                counts[key] = counts.get(key, 0) + 1
    return counts


def _all_queues(session: GraphSession) -> QueueCounts:
    """A queue without tasks has the value 0."""
    queues = session.leader.state.graphs.queues.queues
    return {(queue.policy.queue,): 0 for queue in queues}
