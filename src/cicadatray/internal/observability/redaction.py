"""Redaction of secrets in logs, dumps and other output for people."""

import re
from collections.abc import Mapping, MutableMapping
from enum import Enum
from typing import Any

import msgspec

REDACTED = "[redacted]"
DEPTH_LIMIT = 16  # limits the recursion into a structure that refers to itself
TOO_DEEP = "[nested too deeply]"
SECRET_WORDS = ("authorization", "credential", "secret", "password", "passwd", "token")
PATH_LIMIT = 256  # characters examined before a name; the limit keeps redaction linear
# Names with these endings show where a secret is stored, or how many there are.
SAFE_ENDINGS = ("_file", "_path", "_count")

BEARER_PATTERN = re.compile(r"\b([Bb]earer|BEARER|Basic)\s+[^\s,;\"']{4,}")
# The repetitions are bounded: unbounded ones take quadratic time on a string of repeated names.
ASSIGNMENT_PATTERN = re.compile(
    r"((?:authorization|credential|secret|password|passwd|token)"
    r"(?!\w{0,64}(?:_file|_path|_count)\b)\w{0,64}\\?[\"']?\s{0,8}[:=]\s{0,8})"
    r"(?!\[redacted\])(\\?\"(?:[^\"\\]|\\.)*\\?\"|'[^']*'|[^\s,;&}\])]+)",
    re.IGNORECASE,
)


def is_secret_name(name: str) -> bool:
    """Returns whether values of this name must be redacted."""
    lowered = name.lower().replace("-", "_")
    if lowered.endswith(SAFE_ENDINGS):
        return False
    return any(word in lowered for word in SECRET_WORDS)


def redact(value: Any, depth: int = 0) -> Any:
    """Returns a copy with secrets redacted, made of the types that JSON can express.

    Redacts the values of mapping members and of (name, value) pairs with a secret name; in strings,
    bearer credentials and the values of `name=value` or `"name": "value"` with a secret name.
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
        return {_to_text(key): _redact_member(key, item, depth) for key, item in value.items()}
    if isinstance(value, tuple | list):
        return _redact_sequence(value, depth)
    if isinstance(value, set | frozenset):
        return [redact(item, depth + 1) for item in sorted(value, key=repr)]
    if value is None or isinstance(value, bool | int | float):
        return value
    return redact_text(str(value))


def redact_text(text: str) -> str:
    """Returns the text with bearer credentials and the values after secret names redacted."""
    text = BEARER_PATTERN.sub(rf"\1 {REDACTED}", text)
    return ASSIGNMENT_PATTERN.sub(_redact_assignment, text)


def _redact_assignment(match: re.Match[str]) -> str:
    """Returns the name with its value redacted.

    Error messages such as "/etc/cluster.secret: empty", in which the name ends a file path, stay.
    """
    before = match.string[max(0, match.start() - PATH_LIMIT) : match.start()]
    word = before.split()[-1] if before and not before[-1].isspace() else ""
    if word.startswith(("/", "./", "../")) and match[1].endswith(": "):
        return match[0]
    return match[1] + REDACTED


def redact_event(
    logger: Any, method_name: str, event_dict: MutableMapping[str, Any]
) -> MutableMapping[str, Any]:
    """Redacts a whole event; used as the last structlog processor before rendering."""
    redacted: dict[str, Any] = redact(dict(event_dict))
    return redacted


def _to_text(key: Any) -> str:
    if isinstance(key, bytes):
        return key.decode("utf-8", "backslashreplace")
    return str(key)


def _redact_member(key: Any, item: Any, depth: int) -> Any:
    return REDACTED if is_secret_name(_to_text(key)) else redact(item, depth + 1)


def _redact_sequence(value: tuple[Any, ...] | list[Any], depth: int) -> list[Any]:
    """Treats a (name, value) pair as a mapping member, since HTTP headers are lists of pairs."""
    is_pair = len(value) == 2 and isinstance(value[0], str | bytes)
    if is_pair and is_secret_name(_to_text(value[0])):
        return [_to_text(value[0]), REDACTED]
    return [redact(item, depth + 1) for item in value]
