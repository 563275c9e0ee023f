"""Limits on the size of a state dump."""

from typing import Any

import msgspec

DUMP_LIMIT_BYTES = 512 * 1024  # half of a frame between processes, which carry dumps too
DUMP_LIMIT_ITEMS = 1000
DUMP_LIMIT_TEXT = 2000
OMITTED_KEY = "omitted"


def bound_items(value: Any) -> Any:
    """Returns the value with at most `DUMP_LIMIT_ITEMS` members in each object and list, and at
    most `DUMP_LIMIT_TEXT` characters in each text; what is left out is counted."""
    if isinstance(value, dict):
        return _bound_object(value)
    if isinstance(value, list):
        kept = [bound_items(item) for item in value[:DUMP_LIMIT_ITEMS]]
        left_out = len(value) - len(kept)
        return [*kept, {OMITTED_KEY: left_out}] if left_out else kept
    if isinstance(value, str) and len(value) > DUMP_LIMIT_TEXT:
        return f"{value[:DUMP_LIMIT_TEXT]}... ({len(value) - DUMP_LIMIT_TEXT} more characters)"
    return value


def _bound_object(value: dict[str, Any]) -> dict[str, Any]:
    kept = {key: bound_items(value[key]) for key in list(value)[:DUMP_LIMIT_ITEMS]}
    left_out = len(value) - len(kept)
    if left_out:
        kept[OMITTED_KEY] = left_out
    return kept


def bound_sections(head: dict[str, Any], sections: dict[str, bytes], limit_bytes: int) -> bytes:
    """Returns the JSON object of head and sections; sections are replaced by their size, the
    largest first, until the object fits."""
    rendered = _join_sections(head, sections)
    sections = dict(sections)
    for name in sorted(sections, key=lambda name: len(sections[name]), reverse=True):
        if len(rendered) <= limit_bytes:
            break
        sections[name] = msgspec.json.encode({"omitted_bytes": len(sections[name])})
        rendered = _join_sections(head, sections)
    return rendered


def _join_sections(head: dict[str, Any], sections: dict[str, bytes]) -> bytes:
    raw = {name: msgspec.Raw(section) for name, section in sections.items()}
    return msgspec.json.encode({**head, **raw})
