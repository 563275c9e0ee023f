"""The bounded label sets of one metric."""

from typing import Generic, TypeVar

from cicadatray.internal.observability.errors import MetricError

LABEL_SET_LIMIT = 512  # 410 client accounts at design size, with a margin for outcomes
OVERFLOW_VALUE = "other"

Value = TypeVar("Value")
LabelValues = tuple[str, ...]


class LabelSets(Generic[Value]):
    """Values by label set; label sets beyond the limit share one whose labels are all `other`."""

    __slots__ = ("label_names", "limit", "metric_name", "values")

    def __init__(
        self, metric_name: str, label_names: tuple[str, ...], limit: int = LABEL_SET_LIMIT
    ) -> None:
        self.metric_name = metric_name
        self.label_names = label_names
        self.limit = limit
        self.values: dict[LabelValues, Value] = {}

    def key(self, labels: dict[str, str]) -> LabelValues:
        """Returns the key under which the value of the labels is stored.

        Raises:
            MetricError: the labels are not those of the metric.
        """
        try:
            values = tuple([labels[name] for name in self.label_names])
        except KeyError:
            raise self._mismatch(labels) from None
        if len(values) != len(labels):
            raise self._mismatch(labels)
        if values in self.values or len(self.values) < self.limit:
            return values
        return (OVERFLOW_VALUE,) * len(self.label_names)

    def _mismatch(self, labels: dict[str, str]) -> MetricError:
        expected = ", ".join(self.label_names) or "no labels"
        received = ", ".join(labels) or "no labels"
        return MetricError(f"metric {self.metric_name} expects {expected}, got {received}")
