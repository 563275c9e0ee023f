"""Metrics that can rise and fall."""

from collections.abc import Callable, Mapping

from cicadatray.internal.observability.label_sets import LabelSets
from cicadatray.internal.observability.text_format import render_sample


class Gauge:
    """A value for each label set, either set explicitly or read from a source at each rendering."""

    __slots__ = ("help_text", "label_sets", "label_sets_source", "name", "sources")

    kind = "gauge"

    def __init__(self, name: str, help_text: str, label_names: tuple[str, ...]) -> None:
        self.name = name
        self.help_text = help_text
        self.label_sets: LabelSets[float] = LabelSets(name, label_names)
        self.sources: dict[tuple[str, ...], Callable[[], float]] = {}
        self.label_sets_source: Callable[[], Mapping[tuple[str, ...], float]] | None = None

    def set(self, value: float, **labels: str) -> None:
        """Replaces the value of the label set."""
        self.label_sets.values[self.label_sets.key(labels)] = value

    def read_from(self, source: Callable[[], float], **labels: str) -> None:
        """Makes each rendering call `source` for the value of the label set."""
        key = self.label_sets.key(labels)
        self.sources[key] = source
        self.label_sets.values[key] = 0.0

    def read_label_sets_from(self, source: Callable[[], Mapping[tuple[str, ...], float]]) -> None:
        """Makes each rendering replace all values by those that `source` returns.

        The keys of the returned mapping are label values in the order of the label names.
        """
        self.label_sets_source = source

    def remove(self, **labels: str) -> None:
        """Removes a label set, for example that of an agent that has left."""
        key = self.label_sets.key(labels)
        self.label_sets.values.pop(key, None)
        self.sources.pop(key, None)

    def render(self) -> list[str]:
        """Returns the sample lines."""
        for key, source in self.sources.items():
            self.label_sets.values[key] = source()
        if self.label_sets_source is not None:
            self._read_label_sets(self.label_sets_source())
        names = self.label_sets.label_names
        return [
            render_sample(self.name, zip(names, key, strict=True), value)
            for key, value in sorted(self.label_sets.values.items())
        ]

    def _read_label_sets(self, values: Mapping[tuple[str, ...], float]) -> None:
        """Replaces all values; those of label sets beyond the limit are added up."""
        self.label_sets.values.clear()
        for labels, value in values.items():
            key = self.label_sets.key(dict(zip(self.label_sets.label_names, labels, strict=True)))
            self.label_sets.values[key] = self.label_sets.values.get(key, 0.0) + value
