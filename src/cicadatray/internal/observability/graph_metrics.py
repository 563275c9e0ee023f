"""The metrics of task graphs that docs/OPERATIONS.md documents."""

from cicadatray.internal.observability.counter import Counter
from cicadatray.internal.observability.gauge import Gauge
from cicadatray.internal.observability.latency_histogram import LatencyHistogram
from cicadatray.internal.observability.metrics_registry import MetricsRegistry


def client_call_seconds(registry: MetricsRegistry) -> LatencyHistogram:
    """Returns the histogram of client call durations; labels `method`, `status`."""
    return registry.histogram(
        "cicadatray_client_call_seconds",
        "Time from receiving a client's call to its answer.",
        ("method", "status"),
    )


def client_call_attempts(registry: MetricsRegistry) -> Counter:
    """Returns the counter of attempts to get control's reply to a client's call."""
    return registry.counter(
        "cicadatray_client_call_attempts_total", "Attempts to reach control for clients' calls."
    )


def client_call_wait_seconds(registry: MetricsRegistry) -> LatencyHistogram:
    """Returns the histogram of how long a client's call waited for control; label `phase`.

    It is `connection` (of failed attempts) or `reply`.
    """
    return registry.histogram(
        "cicadatray_client_call_wait_seconds",
        "Time that a client's call waited for a connection to control or for its reply.",
        ("phase",),
    )


def client_calls_late(registry: MetricsRegistry) -> Counter:
    """Returns the counter of calls answered after their client's deadline; label `status`."""
    return registry.counter(
        "cicadatray_client_calls_late_total", "Calls answered after the deadline.", ("status",)
    )


def refusals_in_doubt(registry: MetricsRegistry) -> Counter:
    """Returns the counter of refusals after an attempt in doubt; label `code`."""
    return registry.counter(
        "cicadatray_refusals_in_doubt_total",
        "Client calls that control refused after an earlier attempt without a reply.",
        ("code",),
    )


def leader_silence_seconds(registry: MetricsRegistry) -> Gauge:
    """Returns the gauge of the age of the leader's last reply; NaN if there was none."""
    return registry.gauge(
        "cicadatray_leader_silence_seconds", "Age of the last reply of the control leader."
    )


def queues_version(registry: MetricsRegistry) -> Gauge:
    """Returns the gauge of the version of the queue configuration that this replica has applied."""
    return registry.gauge(
        "cicadatray_queues_version", "Version of the queue configuration that is applied here."
    )


def configuration_answers(registry: MetricsRegistry) -> Counter:
    """Returns the counter of answers to operators; label `answer`.

    It is `confirmed`, `overtaken` (confirmed, with a higher version in force), `refused`,
    `in_doubt`, `read`, or `unreadable`.
    """
    return registry.counter(
        "cicadatray_configuration_answers_total", "Answers to operators.", ("answer",)
    )


def older_decisions(registry: MetricsRegistry) -> Counter:
    """Returns the counter of replies decided by an older version than an earlier reply was."""
    return registry.counter(
        "cicadatray_older_decisions_total",
        "Replies of control decided by an older configuration than an earlier reply.",
    )


def graphs_accepted(registry: MetricsRegistry) -> Counter:
    """Returns the counter of graphs accepted by this leader; label `queue`."""
    return registry.counter("cicadatray_graphs_accepted_total", "Graphs accepted.", ("queue",))


def graphs_refused(registry: MetricsRegistry) -> Counter:
    """Returns the counter of graphs that this leader refused; labels `queue`, `code`."""
    return registry.counter(
        "cicadatray_graphs_refused_total", "Graphs not accepted.", ("queue", "code")
    )


def guarantees_missed(registry: MetricsRegistry) -> Counter:
    """Returns the counter of covered gangs and tasks that still waited once their time was over.

    The label is `client_account`.
    """
    return registry.counter(
        "cicadatray_guarantees_missed_total",
        "Covered work that could not start in its time.",
        ("client_account",),
    )


def covered_accelerators(registry: MetricsRegistry) -> Gauge:
    """Returns the gauge of accelerators that covered graphs need; label `client_account`."""
    return registry.gauge(
        "cicadatray_covered_accelerators",
        "Accelerators of the urgent graphs that a guarantee covers.",
        ("client_account",),
    )


def runs_ended(registry: MetricsRegistry) -> Counter:
    """Returns the counter of runs whose end this leader has stored; label `outcome`."""
    return registry.counter("cicadatray_runs_ended_total", "Runs that ended.", ("outcome",))


def runs_displaced(registry: MetricsRegistry) -> Counter:
    """Returns the counter of runs that this leader stopped for other work.

    The label `reason` is `displaced` or `evacuated`.
    """
    return registry.counter(
        "cicadatray_runs_displaced_total", "Runs stopped for others.", ("reason",)
    )


def task_wait_seconds(registry: MetricsRegistry) -> LatencyHistogram:
    """Returns the histogram of the time from when a task may start to the order to start it.

    The label is `priority`.
    """
    return registry.histogram(
        "cicadatray_task_wait_seconds",
        "Time from a task's turn to the order to start it.",
        ("priority",),
    )


def worker_starts_total(registry: MetricsRegistry) -> Counter:
    """Returns the counter of a worker's answers to its agent's start orders; label `answer`."""
    return registry.counter(
        "cicadatray_worker_starts_total", "Orders to start, by the worker's answer.", ("answer",)
    )


def cleared_runs_ended(registry: MetricsRegistry) -> Counter:
    """Returns the counter of ends listed for runs reported as cleared before; label `outcome`."""
    return registry.counter(
        "cicadatray_cleared_runs_ended_total",
        "Ends of runs that had been reported as cleared.",
        ("outcome",),
    )


def partial_worker_views(registry: MetricsRegistry) -> Counter:
    """Returns the counter of a worker's answers that may have left out ends of runs."""
    return registry.counter(
        "cicadatray_partial_worker_views_total",
        "Answers of the worker with as many ends as it lists at once.",
    )


def loop_failures(registry: MetricsRegistry) -> Counter:
    """Returns the counter of loops that ended with an error and were restarted; label `loop`."""
    return registry.counter(
        "cicadatray_loop_failures_total",
        "Loops that ended with an unexpected error and were restarted.",
        ("loop",),
    )


def log_lines_dropped(registry: MetricsRegistry) -> Counter:
    """Returns the counter of log lines dropped at the rate limit or because of a slow reader."""
    return registry.counter("cicadatray_log_lines_dropped_total", "Log lines not written.")


def agent_pauses(registry: MetricsRegistry) -> Counter:
    """Returns the counter of pauses in which an agent's process or its machine stood still."""
    return registry.counter(
        "cicadatray_agent_pauses_total", "Pauses in which this process or its machine stood still."
    )
