"""All metrics of one process."""

import re
from typing import TypeVar

from cicadatray.internal.observability.counter import Counter
from cicadatray.internal.observability.errors import MetricError
from cicadatray.internal.observability.gauge import Gauge
from cicadatray.internal.observability.latency_histogram import LatencyHistogram
from cicadatray.internal.observability.text_format import render_header

Metric = Counter | Gauge | LatencyHistogram
MetricType = TypeVar("MetricType", Counter, Gauge, LatencyHistogram)
NAME_PATTERN = re.compile(r"[a-z][a-z0-9_]*")


class MetricsRegistry:
    """Creates metrics by name; asking again for the same metric returns the first one."""

    __slots__ = ("metrics",)

    def __init__(self) -> None:
        self.metrics: dict[str, Metric] = {}

    def counter(self, name: str, help_text: str, labels: tuple[str, ...] = ()) -> Counter:
        """Returns the counter of this name."""
        return self._find_or_add(Counter, name, help_text, labels)

    def gauge(self, name: str, help_text: str, labels: tuple[str, ...] = ()) -> Gauge:
        """Returns the gauge of this name."""
        return self._find_or_add(Gauge, name, help_text, labels)

    def histogram(
        self, name: str, help_text: str, labels: tuple[str, ...] = ()
    ) -> LatencyHistogram:
        """Returns the latency histogram of this name."""
        return self._find_or_add(LatencyHistogram, name, help_text, labels)

    def render_text(self) -> str:
        """Returns all metrics in the text exposition format, in the order of their names."""
        lines: list[str] = []
        for name, metric in sorted(self.metrics.items()):
            lines += render_header(name, metric.kind, metric.help_text)
            lines += metric.render()
        return "\n".join([*lines, ""])

    def _find_or_add(
        self, metric_type: type[MetricType], name: str, help_text: str, labels: tuple[str, ...]
    ) -> MetricType:
        known = self.metrics.get(name)
        if known is None:
            if not all(NAME_PATTERN.fullmatch(text) for text in (name, *labels)):
                raise MetricError(f"metric {name}: names have small letters, digits and '_'")
            metric = metric_type(name, help_text, labels)
            self.metrics[name] = metric
            return metric
        if not isinstance(known, metric_type) or known.label_sets.label_names != labels:
            raise MetricError(f"metric {name} is already a {known.kind} with other properties")
        return known
