"""The metrics by queue of the control leader; docs/OPERATIONS.md documents them."""

from cicadatray.internal.observability.counter import Counter
from cicadatray.internal.observability.gauge import Gauge
from cicadatray.internal.observability.latency_histogram import LatencyHistogram
from cicadatray.internal.observability.metrics_registry import MetricsRegistry


def graphs_ended(registry: MetricsRegistry) -> Counter:
    """Returns the counter of ended graphs; labels `queue`, `outcome`.

    The outcome is measured against the objective of the queue.
    """
    return registry.counter(
        "cicadatray_graphs_ended_total", "Graphs that ended.", ("queue", "outcome")
    )


def graph_start_seconds(registry: MetricsRegistry) -> LatencyHistogram:
    """Returns the histogram of times from acceptance or due time to first start; label `queue`."""
    return registry.histogram(
        "cicadatray_graph_start_seconds",
        "Time from a graph's acceptance or due time to its first start.",
        ("queue",),
    )


def graph_end_seconds(registry: MetricsRegistry) -> LatencyHistogram:
    """Returns the histogram of the time from a graph's acceptance, or last due time, to its end.

    Graphs that failed or were cancelled are not recorded. The label is `queue`.
    """
    return registry.histogram(
        "cicadatray_graph_end_seconds",
        "Time from a graph's acceptance or last due time to its end as done.",
        ("queue",),
    )


def queue_runs_ended(registry: MetricsRegistry) -> Counter:
    """Returns the counter of runs whose end is stored; labels `queue`, `outcome`."""
    return registry.counter(
        "cicadatray_queue_runs_ended_total", "Runs that ended.", ("queue", "outcome")
    )


def queue_runs_displaced(registry: MetricsRegistry) -> Counter:
    """Returns the counter of runs stopped for other work; labels `queue`, `reason`."""
    return registry.counter(
        "cicadatray_queue_runs_displaced_total", "Runs stopped for others.", ("queue", "reason")
    )


def queue_core_seconds_displaced(registry: MetricsRegistry) -> Counter:
    """Returns the counter of core-seconds that displaced runs have lost; label `queue`."""
    return registry.counter(
        "cicadatray_queue_core_seconds_displaced_total",
        "Work lost by runs stopped for others, an accelerator counted as eight cores.",
        ("queue",),
    )


def queue_blocked_seconds(registry: MetricsRegistry) -> Counter:
    """Returns the counter of seconds in which the oldest waiting work of a queue was not placed.

    The labels are `queue` and `reason`, the reason why it was not placed.
    """
    return registry.counter(
        "cicadatray_queue_blocked_seconds_total",
        "Time in which the oldest waiting work of a queue was not placed.",
        ("queue", "reason"),
    )


def tasks_waiting(registry: MetricsRegistry) -> Gauge:
    """Returns the gauge of tasks that may start and do not run; label `queue`."""
    return registry.gauge("cicadatray_tasks_waiting", "Tasks that could start.", ("queue",))


def tasks_running(registry: MetricsRegistry) -> Gauge:
    """Returns the gauge of tasks ordered to start whose end is not yet stored; label `queue`."""
    return registry.gauge("cicadatray_tasks_running", "Tasks that may run.", ("queue",))


def unavailable_workers(registry: MetricsRegistry) -> Gauge:
    """Returns the gauge of workers that take no new work; label `reason`."""
    return registry.gauge(
        "cicadatray_workers_unavailable", "Workers that take no new work.", ("reason",)
    )


def evacuated_data_centres(registry: MetricsRegistry) -> Gauge:
    """Returns the gauge of data centres in which nothing may be started."""
    return registry.gauge(
        "cicadatray_evacuated_data_centres", "Data centres in which nothing may be started."
    )


def evacuated_runs_left(registry: MetricsRegistry) -> Gauge:
    """Returns the gauge of runs that have not ended in evacuated data centres.

    The label is `data_centre`.
    """
    return registry.gauge(
        "cicadatray_evacuated_runs_left",
        "Runs that have not ended in evacuated data centres.",
        ("data_centre",),
    )


def work_held_seconds(registry: MetricsRegistry) -> Counter:
    """Returns the counter of seconds for which work waited although its pool had room for it.

    The labels are `queue` and `reason`, which is one of `WaitReason`.
    """
    return registry.counter(
        "cicadatray_work_held_seconds_total",
        "Time for which work of resting jobs was not started although there was room.",
        ("queue", "reason"),
    )


def placement_round_seconds(registry: MetricsRegistry) -> LatencyHistogram:
    """Returns the histogram of the time that a round of placement takes, with its pauses."""
    return registry.histogram(
        "cicadatray_placement_round_seconds", "Time from the begin of a round to its plan."
    )


def placement_steps_waiting(registry: MetricsRegistry) -> Gauge:
    """Returns the gauge of the steps and gangs that waited in the last round."""
    return registry.gauge(
        "cicadatray_placement_steps_waiting", "Steps and gangs that waited in the last round."
    )


def placement_rounds_ended_early(registry: MetricsRegistry) -> Counter:
    """Returns the counter of rounds that ended before they had tried all waiting work."""
    return registry.counter(
        "cicadatray_placement_rounds_ended_early_total",
        "Rounds that left waiting work to the next one.",
    )


def event_loop_hold_seconds(registry: MetricsRegistry) -> Gauge:
    """Returns the gauge of the longest time for which one turn held the event loop of late."""
    return registry.gauge(
        "cicadatray_event_loop_longest_hold_seconds",
        "Longest delay of a timer by a held event loop, in the last minute.",
    )
