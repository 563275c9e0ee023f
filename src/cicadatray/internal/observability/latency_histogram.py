"""Latency histograms."""

from hdrh.histogram import HdrHistogram

from cicadatray.internal.observability.label_sets import LabelSets
from cicadatray.internal.observability.text_format import render_sample

MICROSECONDS_PER_S = 1_000_000
LOWEST_US = 100  # network round trips take more than 1 ms; finer steps would only cost memory
HIGHEST_US = 3600 * MICROSECONDS_PER_S
SIGNIFICANT_DIGITS = 2
# Bytes of a bucket; with these limits a histogram takes about 10 KB, 5 MB at the label set limit.
WORD_BYTES = 4
QUANTILES = (0.5, 0.9, 0.99, 0.999)


class _Series:
    """The recorded durations of one label set."""

    __slots__ = ("count", "histogram", "sum_s")

    def __init__(self) -> None:
        self.histogram = HdrHistogram(
            LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS, word_size=WORD_BYTES
        )
        self.count = 0
        self.sum_s = 0.0


class LatencyHistogram:
    """Durations by label set, rendered as a summary: quantiles, sum and count since process start.

    Quantiles are exact to two significant digits between 100 µs and one hour; durations outside
    this range are recorded as the nearest bound.
    """

    __slots__ = ("help_text", "label_sets", "name")

    kind = "summary"

    def __init__(self, name: str, help_text: str, label_names: tuple[str, ...]) -> None:
        self.name = name
        self.help_text = help_text
        self.label_sets: LabelSets[_Series] = LabelSets(name, label_names)

    def observe(self, duration_s: float, **labels: str) -> None:
        """Records one duration.

        Raises:
            MetricError: the labels are not those of the metric.
        """
        key = self.label_sets.key(labels)
        series = self.label_sets.values.get(key)
        if series is None:
            series = self.label_sets.values[key] = _Series()
        value_us = int(duration_s * MICROSECONDS_PER_S)
        series.histogram.record_value(min(max(value_us, LOWEST_US), HIGHEST_US))
        series.count += 1
        series.sum_s += duration_s

    def quantile_s(self, quantile: float, **labels: str) -> float:
        """Returns a quantile in seconds, or zero when nothing has been recorded."""
        series = self.label_sets.values.get(self.label_sets.key(labels))
        if series is None:
            return 0.0
        value_us: int = series.histogram.get_value_at_percentile(quantile * 100)
        return value_us / MICROSECONDS_PER_S

    def render(self) -> list[str]:
        """Returns the sample lines."""
        lines: list[str] = []
        for key, series in sorted(self.label_sets.values.items(), key=lambda item: item[0]):
            labels = list(zip(self.label_sets.label_names, key, strict=True))
            percentiles = series.histogram.get_percentile_to_value_dict(
                [quantile * 100 for quantile in QUANTILES]
            )
            for quantile, value_us in zip(QUANTILES, percentiles.values(), strict=True):
                quantile_labels = [*labels, ("quantile", str(quantile))]
                value_s = value_us / MICROSECONDS_PER_S
                lines.append(render_sample(self.name, quantile_labels, value_s))
            lines.append(render_sample(f"{self.name}_sum", labels, series.sum_s))
            lines.append(render_sample(f"{self.name}_count", labels, series.count))
        return lines
