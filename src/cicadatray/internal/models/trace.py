"""Renders counterexamples as text."""

from collections.abc import Iterator

from cicadatray.internal.models.check_result import CheckResult


def flatten(name: str, value: object) -> Iterator[tuple[str, object]]:
    """Yields every scalar in a field with its path, such as `entries[0].phase`."""
    if isinstance(value, tuple) and value:
        names = getattr(value, "_fields", None)
        for position, element in enumerate(value):
            path = f"{name}.{names[position]}" if names else f"{name}[{position}]"
            yield from flatten(path, element)
    else:
        yield name, value


def render_trace(result: CheckResult) -> Iterator[str]:
    """Yields a line per action with the values that it changed; the first line has all values."""
    previous: dict[str, object] = {}
    for number, (label, fields) in enumerate(result.trace):
        values = dict(item for name, field in fields.items() for item in flatten(name, field))
        changed = [f"{k}={v}" for k, v in values.items() if k not in previous or previous[k] != v]
        yield f"{number:3} {label}: {', '.join(changed)}"
        previous = values
