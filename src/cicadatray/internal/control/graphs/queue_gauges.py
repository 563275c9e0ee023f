"""Gauges of tasks and evacuations, computed when the metrics are read."""

import math
from collections.abc import Callable

from cicadatray.internal.control.graphs.evacuation_progress import current_evacuations
from cicadatray.internal.control.graphs.graph_session import GraphSession
from cicadatray.internal.control.loop_turns import run_at_once
from cicadatray.internal.observability.metrics_registry import MetricsRegistry
from cicadatray.internal.observability.queue_metrics import (
    evacuated_data_centres,
    evacuated_runs_left,
    tasks_running,
    tasks_waiting,
)

LabelledCounts = dict[tuple[str, ...], float]


def register_queue_gauges(
    registry: MetricsRegistry, current_session: Callable[[], GraphSession | None]
) -> None:
    """Registers the gauges; they have no values while `current_session` returns None."""

    def read(count: Callable[[GraphSession], LabelledCounts]) -> LabelledCounts:
        session = current_session()
        return count(session) if session is not None else {}

    tasks_waiting(registry).read_label_sets_from(lambda: read(count_waiting))
    tasks_running(registry).read_label_sets_from(lambda: read(count_running))
    evacuated_runs_left(registry).read_label_sets_from(lambda: read(count_evacuated_runs))

    def count_data_centres() -> float:
        session = current_session()
        return math.nan if session is None else len(session.leader.state.evacuations.active)

    evacuated_data_centres(registry).read_from(count_data_centres)


def count_waiting(session: GraphSession) -> LabelledCounts:
    """Returns how many tasks of each queue are ready to start and wait for capacity."""
    counts = _all_queues(session)
    run_at_once(session.ready.update(session.wall_s()))
    for work in session.ready.waiting():
        key = (work.graph.graph.policy.queue,)
        counts[key] = counts.get(key, 0) + work.task_count
    return counts


def count_running(session: GraphSession) -> LabelledCounts:
    """Returns how many runs of each queue may exist."""
    counts = _all_queues(session)
    for ordered in session.ordered_runs.values():
        for run in ordered:
            progress = session.graphs.get(run.task.graph_id)
            if progress is not None:
                key = (progress.graph.policy.queue,)
                counts[key] = counts.get(key, 0) + 1
    return counts


def count_evacuated_runs(session: GraphSession) -> LabelledCounts:
    """Returns how many runs are left in each evacuated data centre."""
    return {
        (progress.evacuation.data_centre,): progress.runs_left
        for progress in current_evacuations(session)
    }


def _all_queues(session: GraphSession) -> LabelledCounts:
    """Returns 0 for each configured queue, so that queues without tasks have a value."""
    queues = session.leader.state.graphs.queues.queues
    return {(queue.policy.queue,): 0 for queue in queues}
