"""The metrics of requests, jobs and control disks that docs/OPERATIONS.md documents."""

from cicadatray.internal.observability.counter import Counter
from cicadatray.internal.observability.gauge import Gauge
from cicadatray.internal.observability.latency_histogram import LatencyHistogram
from cicadatray.internal.observability.metrics_registry import MetricsRegistry


def request_seconds(registry: MetricsRegistry) -> LatencyHistogram:
    """Returns the histogram of request durations; labels `client_account`, `outcome`."""
    return registry.histogram(
        "cicadatray_request_seconds",
        "Time from receiving a request to answering it.",
        ("client_account", "outcome"),
    )


def queue_seconds(registry: MetricsRegistry) -> LatencyHistogram:
    """Returns the histogram of the time that an admitted request waits in the entry's queue.

    The label is `client_account`.
    """
    return registry.histogram(
        "cicadatray_queue_seconds",
        "Time that an admitted request waits in the queue of the entry.",
        ("client_account",),
    )


def reclaim_seconds(registry: MetricsRegistry) -> LatencyHistogram:
    """Returns the histogram of the time from submitting an urgent job to its first gang start."""
    return registry.histogram(
        "cicadatray_reclaim_seconds",
        "Time from submitting an urgent job within its guarantee to the start of its gang.",
    )


def fragmentation_ratio(registry: MetricsRegistry) -> Gauge:
    """Returns the gauge of the current share of idle accelerators unusable for the large job."""
    return registry.gauge(
        "cicadatray_fragmentation_ratio",
        "Share of idle accelerators that cannot serve the large job.",
    )


def retries_total(registry: MetricsRegistry) -> Counter:
    """Returns the counter of attempts after the first; label `client_account`."""
    return registry.counter(
        "cicadatray_retries_total", "Attempts after the first.", ("client_account",)
    )


def ejections_total(registry: MetricsRegistry) -> Counter:
    """Returns the counter of endpoint ejections for consecutive failures; label `agent`."""
    return registry.counter(
        "cicadatray_ejections_total", "Endpoints ejected after consecutive failures.", ("agent",)
    )


def refusals_total(registry: MetricsRegistry) -> Counter:
    """Returns the counter of requests and jobs refused before running.

    The labels are `client_account` and `code`.
    """
    return registry.counter(
        "cicadatray_refusals_total",
        "Requests and jobs that were refused before they ran.",
        ("client_account", "code"),
    )


def lost_disks_borne(registry: MetricsRegistry) -> Gauge:
    """Returns the gauge of control disks whose loss at once loses nothing acknowledged.

    It is not a number on instances other than the leader.
    """
    return registry.gauge(
        "cicadatray_lost_disks_borne",
        "Disks of control that may be lost at once without losing what was acknowledged.",
    )


def replica_term(registry: MetricsRegistry) -> Gauge:
    """Returns the gauge of the term that this replica has adopted."""
    return registry.gauge("cicadatray_replica_term", "Term of the control group.")
