"""Tests of metrics and their text form."""

import pytest

from cicadatray.internal.observability import standard_metrics
from cicadatray.internal.observability.errors import MetricError
from cicadatray.internal.observability.label_sets import LABEL_SET_LIMIT
from cicadatray.internal.observability.metrics_registry import MetricsRegistry


def test_text_form() -> None:
    """Guards against output that a collector cannot read."""
    registry = MetricsRegistry()
    registry.counter("b_total", "Events.", ("kind",)).increment(2, kind='x"\\\n')
    registry.gauge("a_ratio", "Ratio\nof it.").set(0.25)
    registry.gauge("c_size", "Size.").read_from(lambda: 7)
    assert registry.render_text() == (
        "# HELP a_ratio Ratio\\nof it.\n# TYPE a_ratio gauge\na_ratio 0.25\n"
        '# HELP b_total Events.\n# TYPE b_total counter\nb_total{kind="x\\"\\\\\\n"} 2\n'
        "# HELP c_size Size.\n# TYPE c_size gauge\nc_size 7\n"
    )


def test_histogram_renders_a_summary() -> None:
    """Guards against quantiles, sums or counts of the wrong unit."""
    registry = MetricsRegistry()
    histogram = registry.histogram("wait_seconds", "Wait.", ("account",))
    for hundredths in range(1, 101):
        histogram.observe(hundredths / 100, account="a")
    assert histogram.quantile_s(0.5, account="a") == pytest.approx(0.5, rel=0.02)
    assert histogram.quantile_s(0.99, account="a") == pytest.approx(0.99, rel=0.02)
    lines = registry.render_text().splitlines()
    assert lines[1] == "# TYPE wait_seconds summary"
    assert lines[2].startswith('wait_seconds{account="a",quantile="0.5"} 0.5')
    assert lines[-2:] == [
        'wait_seconds_sum{account="a"} 50.5',
        'wait_seconds_count{account="a"} 100',
    ]


@pytest.mark.parametrize("duration_s", [-1.0, 0.0, 1e-9, 3600.0, 1e9])
def test_duration_outside_the_range_is_counted(duration_s: float) -> None:
    """Guards against an observation that raises, or is lost, beyond the histogram's bounds."""
    registry = MetricsRegistry()
    histogram = registry.histogram("wait_seconds", "Wait.")
    histogram.observe(duration_s)
    assert "wait_seconds_count 1" in registry.render_text()


def test_label_sets_are_bounded() -> None:
    """Guards against memory that grows with values chosen by callers."""
    counter = MetricsRegistry().counter("seen_total", "Seen.", ("account", "code"))
    for number in range(LABEL_SET_LIMIT + 100):
        counter.increment(account=str(number), code="c")
    counter.increment(account="0", code="c")
    assert len(counter.label_sets.values) == LABEL_SET_LIMIT + 1
    assert counter.label_sets.values["other", "other"] == 100
    assert counter.label_sets.values["0", "c"] == 2


@pytest.mark.parametrize("labels", [{}, {"kind": "a", "more": "b"}, {"more": "b"}])
def test_wrong_labels_are_refused(labels: dict[str, str]) -> None:
    """Guards against samples that silently lack a label."""
    with pytest.raises(MetricError, match="kind"):
        MetricsRegistry().counter("seen_total", "Seen.", ("kind",)).increment(**labels)


def test_metric_is_shared_by_name_and_conflicts_are_refused() -> None:
    """Guards against two modules that overwrite each other's metric."""
    registry = MetricsRegistry()
    first = standard_metrics.retries_total(registry)
    assert standard_metrics.retries_total(registry) is first
    with pytest.raises(MetricError, match="already a counter"):
        registry.gauge(first.name, "Other.")
    with pytest.raises(MetricError, match="cannot decrease"):
        first.increment(-1, client_account="a")


def test_sets_that_are_read_are_bounded_and_replaced() -> None:
    """Guards against a gauge that keeps, or adds up, label sets of an earlier reading."""
    gauge = MetricsRegistry().gauge("waiting", "Waiting.", ("queue",))
    sets = {(str(number),): 1.0 for number in range(LABEL_SET_LIMIT + 100)}
    gauge.read_label_sets_from(lambda: sets)
    for _ in range(2):
        assert len(gauge.render()) == LABEL_SET_LIMIT + 1
        assert gauge.label_sets.values["other",] == 100
    sets = {("1",): 2.0}
    assert gauge.render() == ['waiting{queue="1"} 2']
