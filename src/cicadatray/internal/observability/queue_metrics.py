"""The metrics by queue of a leading control instance; docs/OPERATIONS.md documents them."""

from cicadatray.internal.observability.counter import Counter
from cicadatray.internal.observability.gauge import Gauge
from cicadatray.internal.observability.latency_histogram import LatencyHistogram
from cicadatray.internal.observability.metrics_registry import MetricsRegistry


def graphs_ended(registry: MetricsRegistry) -> Counter:
    """Graphs that ended, by the objective of their queue; labels `queue`, `outcome`."""
    return registry.counter(
        "cicadatray_graphs_ended_total", "Graphs that ended.", ("queue", "outcome")
    )


def graph_start_seconds(registry: MetricsRegistry) -> LatencyHistogram:
    """Time from a graph's acceptance, or due time, to its first start; label `queue`."""
    return registry.histogram(
        "cicadatray_graph_start_seconds",
        "Time from a graph's acceptance or due time to its first start.",
        ("queue",),
    )


def graph_end_seconds(registry: MetricsRegistry) -> LatencyHistogram:
    """Time from a graph's acceptance, or last due time, to its end as done; label `queue`."""
    return registry.histogram(
        "cicadatray_graph_end_seconds",
        "Time from a graph's acceptance or last due time to its end as done.",
        ("queue",),
    )


def queue_runs_ended(registry: MetricsRegistry) -> Counter:
    """Runs whose end is stored; labels `queue`, `outcome`."""
    return registry.counter(
        "cicadatray_queue_runs_ended_total", "Runs that ended.", ("queue", "outcome")
    )


def queue_runs_displaced(registry: MetricsRegistry) -> Counter:
    """Runs that were stopped for others; labels `queue`, `reason`."""
    return registry.counter(
        "cicadatray_queue_runs_displaced_total", "Runs stopped for others.", ("queue", "reason")
    )


def queue_blocked_seconds(registry: MetricsRegistry) -> Counter:
    """How long the oldest waiting work was not placed, by why; labels `queue`, `reason`."""
    return registry.counter(
        "cicadatray_queue_blocked_seconds_total",
        "Time in which the oldest waiting work of a queue was not placed.",
        ("queue", "reason"),
    )


def tasks_waiting(registry: MetricsRegistry) -> Gauge:
    """Tasks whose turn has come and that do not run; label `queue`."""
    return registry.gauge("cicadatray_tasks_waiting", "Tasks that could start.", ("queue",))


def tasks_running(registry: MetricsRegistry) -> Gauge:
    """Tasks that were ordered and whose end is not stored; label `queue`."""
    return registry.gauge("cicadatray_tasks_running", "Tasks that may run.", ("queue",))
