"""The speeds of workers in state dumps and metrics."""

from collections.abc import Callable

import msgspec

from cicadatray.internal.control.graphs.graph_session import GraphSession
from cicadatray.internal.control.graphs.speed_observer import WorkerSpeedSummary
from cicadatray.internal.observability.metrics_registry import MetricsRegistry


class WorkerSpeedsDescription(msgspec.Struct, frozen=True):
    """The workers whose speeds this instance knows, the slowest first.

    It is empty on an instance that does not lead or whose rules do not use speeds.
    """

    workers: tuple[WorkerSpeedSummary, ...]


def describe_speeds(session: GraphSession | None) -> WorkerSpeedsDescription:
    """Returns the speeds of workers that this instance knows."""
    if session is None or session.speed_observer is None:
        return WorkerSpeedsDescription(())
    return WorkerSpeedsDescription(session.speed_observer.summaries())


def register_speed_gauge(
    registry: MetricsRegistry, current_session: Callable[[], GraphSession | None]
) -> None:
    """Registers the number of workers by class of speed, without values if no speeds are known.

    A series for each worker would not be bounded.
    """

    def read() -> dict[tuple[str, ...], float]:
        session = current_session()
        if session is None or session.speed_observer is None:
            return {}
        return session.speed_observer.count_by_class()

    registry.gauge(
        "cicadatray_workers_by_speed", "Workers by class of estimated speed.", ("speed",)
    ).read_label_sets_from(read)
