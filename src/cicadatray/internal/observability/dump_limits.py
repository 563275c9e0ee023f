"""Limits on the size of a state dump."""

from typing import Any

import msgspec

DUMP_LIMIT_BYTES = 512 * 1024  # below `FRAME_LIMIT_BYTES`, as frames carry dumps too
DUMP_LIMIT_ITEMS = 1000
DUMP_LIMIT_CHARS = 2000
OMITTED_KEY = "omitted"


def truncate_value(value: Any) -> Any:
    """Returns the value with at most `DUMP_LIMIT_ITEMS` members in each object and list, and at
    most `DUMP_LIMIT_CHARS` characters in each string.

    The number of omitted members or characters stands in their place.
    """
    if isinstance(value, dict):
        return _truncate_object(value)
    if isinstance(value, list):
        items = [truncate_value(item) for item in value[:DUMP_LIMIT_ITEMS]]
        omitted = len(value) - len(items)
        return [*items, {OMITTED_KEY: omitted}] if omitted else items
    if isinstance(value, str) and len(value) > DUMP_LIMIT_CHARS:
        return f"{value[:DUMP_LIMIT_CHARS]}... ({len(value) - DUMP_LIMIT_CHARS} more characters)"
    return value


def _truncate_object(value: dict[str, Any]) -> dict[str, Any]:
    members = {key: truncate_value(value[key]) for key in list(value)[:DUMP_LIMIT_ITEMS]}
    omitted = len(value) - len(members)
    if omitted:
        members[OMITTED_KEY] = omitted
    return members


def encode_within_limit(
    header: dict[str, Any], sections: dict[str, bytes], limit_bytes: int
) -> bytes:
    """Returns a JSON object with the members of the header and one member for each section.

    Sections are replaced by their size in bytes, the largest first, until the object has at most
    `limit_bytes`.
    """
    rendered = _join_sections(header, sections)
    sections = dict(sections)
    for name in sorted(sections, key=lambda name: len(sections[name]), reverse=True):
        if len(rendered) <= limit_bytes:
            break
        sections[name] = msgspec.json.encode({"omitted_bytes": len(sections[name])})
        rendered = _join_sections(header, sections)
    return rendered


def _join_sections(header: dict[str, Any], sections: dict[str, bytes]) -> bytes:
    raw = {name: msgspec.Raw(section) for name, section in sections.items()}
    return msgspec.json.encode({**header, **raw})
