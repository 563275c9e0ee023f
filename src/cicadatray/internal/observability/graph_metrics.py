"""The metrics of task graphs that docs/OPERATIONS.md documents."""

from cicadatray.internal.observability.counter import Counter
from cicadatray.internal.observability.latency_histogram import LatencyHistogram
from cicadatray.internal.observability.metrics_registry import MetricsRegistry


def client_call_seconds(registry: MetricsRegistry) -> LatencyHistogram:
    """Time from receiving a client's call to its answer; labels `method`, `status`."""
    return registry.histogram(
        "cicadatray_client_call_seconds",
        "Time from receiving a client's call to its answer.",
        ("method", "status"),
    )


def graphs_accepted(registry: MetricsRegistry) -> Counter:
    """Graphs accepted by this leader; label `queue`."""
    return registry.counter("cicadatray_graphs_accepted_total", "Graphs accepted.", ("queue",))


def runs_ended(registry: MetricsRegistry) -> Counter:
    """Runs whose end this leader has stored; label `outcome`."""
    return registry.counter("cicadatray_runs_ended_total", "Runs that ended.", ("outcome",))


def runs_displaced(registry: MetricsRegistry) -> Counter:
    """Runs that this leader stopped for others; label `reason` is displaced or evacuated."""
    return registry.counter(
        "cicadatray_runs_displaced_total", "Runs stopped for others.", ("reason",)
    )


def task_wait_seconds(registry: MetricsRegistry) -> LatencyHistogram:
    """Time from a task's turn to the order to start it; label `priority`."""
    return registry.histogram(
        "cicadatray_task_wait_seconds",
        "Time from a task's turn to the order to start it.",
        ("priority",),
    )


def worker_starts_total(registry: MetricsRegistry) -> Counter:
    """Answers of the worker to an agent's orders to start; label `answer`."""
    return registry.counter(
        "cicadatray_worker_starts_total", "Orders to start, by the worker's answer.", ("answer",)
    )


def log_lines_dropped(registry: MetricsRegistry) -> Counter:
    """Log lines that were not written, because too many came or the reader is slow."""
    return registry.counter("cicadatray_log_lines_dropped_total", "Log lines not written.")
