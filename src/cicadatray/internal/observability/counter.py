"""Metrics that only increase."""

from cicadatray.internal.observability.errors import MetricError
from cicadatray.internal.observability.label_sets import LabelSets
from cicadatray.internal.observability.text_format import render_sample


class Counter:
    """A value for each label set that never decreases, such as a number of events."""

    __slots__ = ("help_text", "label_sets", "name")

    kind = "counter"

    def __init__(self, name: str, help_text: str, label_names: tuple[str, ...]) -> None:
        self.name = name
        self.help_text = help_text
        self.label_sets: LabelSets[float] = LabelSets(name, label_names)

    def increment(self, amount: float = 1, **labels: str) -> None:
        """Adds the amount to the value of the label set.

        Raises:
            MetricError: the amount is negative or the labels are not those of the metric.
        """
        if amount < 0:
            raise MetricError(f"counter {self.name} cannot decrease by {-amount}")
        key = self.label_sets.key(labels)
        self.label_sets.values[key] = self.label_sets.values.get(key, 0) + amount

    def render(self) -> list[str]:
        """Returns the sample lines."""
        names = self.label_sets.label_names
        return [
            render_sample(self.name, zip(names, key, strict=True), value)
            for key, value in sorted(self.label_sets.values.items())
        ]
