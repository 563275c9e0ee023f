"""Tests that the documentation lists the metrics and exit codes of the code."""

from pathlib import Path

import pytest

from cicadatray.internal.cli.exit_code import ExitCode
from cicadatray.internal.observability import graph_metrics, queue_metrics, standard_metrics
from cicadatray.internal.observability.metrics_registry import MetricsRegistry

DOCS = Path(__file__).parents[3] / "docs"
METRIC_FACTORIES = [
    standard_metrics.request_seconds,
    standard_metrics.queue_seconds,
    standard_metrics.reclaim_seconds,
    standard_metrics.fragmentation_ratio,
    standard_metrics.retries_total,
    standard_metrics.ejections_total,
    standard_metrics.refusals_total,
    standard_metrics.lost_disks_borne,
    graph_metrics.client_call_seconds,
    graph_metrics.graphs_accepted,
    graph_metrics.runs_ended,
    graph_metrics.runs_displaced,
    graph_metrics.task_wait_seconds,
    graph_metrics.worker_starts_total,
    graph_metrics.cleared_runs_ended,
    graph_metrics.partial_worker_views,
    graph_metrics.client_call_attempts,
    graph_metrics.client_call_wait_seconds,
    graph_metrics.client_calls_late,
    graph_metrics.leader_silence_seconds,
    graph_metrics.loop_failures,
    graph_metrics.log_lines_dropped,
    queue_metrics.graphs_ended,
    queue_metrics.graph_start_seconds,
    queue_metrics.graph_end_seconds,
    queue_metrics.queue_runs_ended,
    queue_metrics.queue_runs_displaced,
    queue_metrics.queue_core_seconds_displaced,
    queue_metrics.queue_blocked_seconds,
    queue_metrics.tasks_waiting,
    queue_metrics.tasks_running,
]


@pytest.mark.parametrize("factory", METRIC_FACTORIES, ids=lambda factory: factory.__name__)
def test_metric_is_documented_with_its_labels(factory: object) -> None:
    """Guards against a metric that is missing from the operations guide."""
    assert callable(factory)
    metric = factory(MetricsRegistry())
    labels = ", ".join(f"`{label}`" for label in metric.label_sets.label_names)
    page = (DOCS / "OPERATIONS.md").read_text(encoding="utf-8")
    assert f"| `{metric.name}` | {metric.kind} | {labels}".rstrip() in page


def test_exit_codes_are_documented() -> None:
    """Guards against an exit code that is missing from the page for callers."""
    page = (DOCS / "callers.md").read_text(encoding="utf-8")
    missing = [code.name for code in ExitCode if f"| {code.value} | `{code.name}` |" not in page]
    assert missing == []
