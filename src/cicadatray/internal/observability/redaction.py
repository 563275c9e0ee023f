"""Removes secrets from anything that leaves the process for people to read."""

import re
from collections.abc import Mapping, MutableMapping
from enum import Enum
from typing import Any

import msgspec

REDACTED = "[redacted]"
DEPTH_LIMIT = 16  # bounds the work on a structure that refers to itself
TOO_DEEP = "[nested too deeply]"
SECRET_WORDS = ("authorization", "credential", "secret", "password", "passwd", "token")
PATH_LIMIT = 256  # characters before a name that are looked at, to keep redaction linear
SAFE_ENDINGS = ("_file", "_path", "_count")  # they name where a secret is, or how many

BEARER_PATTERN = re.compile(r"\b([Bb]earer|BEARER|Basic)\s+[^\s,;\"']{4,}")
# The repetitions are bounded: unbounded ones take quadratic time on a text of repeated names.
ASSIGNMENT_PATTERN = re.compile(
    r"((?:authorization|credential|secret|password|passwd|token)"
    r"(?!\w{0,64}(?:_file|_path|_count)\b)\w{0,64}\\?[\"']?\s{0,8}[:=]\s{0,8})"
    r"(?!\[redacted\])(\\?\"(?:[^\"\\]|\\.)*\\?\"|'[^']*'|[^\s,;&}\])]+)",
    re.IGNORECASE,
)


def is_secret_name(name: str) -> bool:
    """Tells whether a value of this name must not be shown."""
    lowered = name.lower().replace("-", "_")
    if lowered.endswith(SAFE_ENDINGS):
        return False
    return any(word in lowered for word in SECRET_WORDS)


def redact(value: Any, depth: int = 0) -> Any:
    """Returns a copy without secrets, made of plain types.

    Mapping members and (name, value) pairs with a secret name lose their value; texts lose
    bearer credentials and `name=value` or `"name": "value"` parts with a secret name.
    """
    if depth > DEPTH_LIMIT:
        return TOO_DEEP
    if isinstance(value, str):
        return redact_text(value)
    if isinstance(value, bytes | bytearray | memoryview):
        return redact_text(bytes(value).decode("utf-8", "backslashreplace"))
    if isinstance(value, Enum):
        return redact(value.value, depth + 1)
    if isinstance(value, msgspec.Struct):
        value = msgspec.structs.asdict(value)
    if isinstance(value, Mapping):
        return {_text(key): _redact_member(key, item, depth) for key, item in value.items()}
    if isinstance(value, tuple | list):
        return _redact_sequence(value, depth)
    if isinstance(value, set | frozenset):
        return [redact(item, depth + 1) for item in sorted(value, key=repr)]
    if value is None or isinstance(value, bool | int | float):
        return value
    return redact_text(str(value))


def redact_text(text: str) -> str:
    """Returns the text without credentials that are recognisable by what precedes them."""
    text = BEARER_PATTERN.sub(rf"\1 {REDACTED}", text)
    return ASSIGNMENT_PATTERN.sub(_redact_assignment, text)


def _redact_assignment(found: re.Match[str]) -> str:
    """Keeps error texts such as "/etc/cluster.secret: empty", where the name ends a file path."""
    before = found.string[max(0, found.start() - PATH_LIMIT) : found.start()]
    word = before.split()[-1] if before and not before[-1].isspace() else ""
    if word.startswith(("/", "./", "../")) and found[1].endswith(": "):
        return found[0]
    return found[1] + REDACTED


def redact_event(
    logger: Any, method_name: str, event_dict: MutableMapping[str, Any]
) -> MutableMapping[str, Any]:
    """The structlog processor that redacts a whole event; it runs just before rendering."""
    redacted: dict[str, Any] = redact(dict(event_dict))
    return redacted


def _text(key: Any) -> str:
    if isinstance(key, bytes):
        return key.decode("utf-8", "backslashreplace")
    return str(key)


def _redact_member(key: Any, item: Any, depth: int) -> Any:
    return REDACTED if is_secret_name(_text(key)) else redact(item, depth + 1)


def _redact_sequence(value: tuple[Any, ...] | list[Any], depth: int) -> list[Any]:
    """HTTP headers are lists of (name, value) pairs, so a pair counts as a member."""
    is_pair = len(value) == 2 and isinstance(value[0], str | bytes)
    if is_pair and is_secret_name(_text(value[0])):
        return [_text(value[0]), REDACTED]
    return [redact(item, depth + 1) for item in value]
