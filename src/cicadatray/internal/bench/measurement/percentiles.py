"""Percentiles of durations from a high dynamic range histogram."""

from collections.abc import Iterable

from hdrh.histogram import HdrHistogram

LARGEST_S = 30 * 24 * 3600
UNITS_PER_S = 1000
SIGNIFICANT_FIGURES = 3


class DurationHistogram:
    """Durations in seconds, with millisecond resolution and three significant figures."""

    __slots__ = ("histogram",)

    def __init__(self, durations_s: Iterable[float] = ()) -> None:
        self.histogram = HdrHistogram(1, LARGEST_S * UNITS_PER_S, SIGNIFICANT_FIGURES)
        for duration_s in durations_s:
            self.record(duration_s)

    def record(self, duration_s: float) -> None:
        """Adds one duration."""
        self.histogram.record_value(max(1, round(duration_s * UNITS_PER_S)))

    def percentile_s(self, percentile: float) -> float:
        """Returns the duration at the percentile, 0 when nothing was recorded."""
        if not self.histogram.get_total_count():
            return 0.0
        return float(self.histogram.get_value_at_percentile(percentile)) / UNITS_PER_S
