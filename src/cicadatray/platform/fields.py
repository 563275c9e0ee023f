"""Typed reading of fields in documents that other writers send."""

from typing import Any, TypeVar

import msgspec

from cicadatray.platform.errors import DocumentError

Value = TypeVar("Value")
# Far above every count, size and time that the platform names; larger numbers are damage.
NUMBER_LIMIT = 10**15
# The platform gives times in milliseconds, the product keeps seconds.
MS_PER_S = 1000


def parse_json(body: bytes) -> dict[str, Any]:
    """Returns the object in a body.

    Raises:
        DocumentError: the body is not a JSON object.
    """
    try:
        document = msgspec.json.decode(body)
    except (msgspec.MsgspecError, RecursionError, ValueError) as error:
        raise DocumentError(f"unreadable body: {error}") from error
    if not isinstance(document, dict):
        raise DocumentError("the body is not an object")
    return document


def read_text(document: dict[str, Any], name: str, default: str | None = None) -> str:
    """Returns a text; without a default the field must be there."""
    value = document.get(name, default)
    if not isinstance(value, str):
        raise DocumentError(f"field {name}: a text is needed")
    return value


def read_number(document: dict[str, Any], name: str, default: float | None = None) -> float:
    """Returns a number that is not negative; without a default the field must be there."""
    value = document.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise DocumentError(f"field {name}: a number is needed")
    if not 0 <= value <= NUMBER_LIMIT:
        raise DocumentError(f"field {name}: {value} is out of range")
    return value


def read_integer(document: dict[str, Any], name: str, default: int | None = None) -> int:
    """Returns a whole number that is not negative."""
    value = read_number(document, name, default)
    if value != int(value):
        raise DocumentError(f"field {name}: a whole number is needed")
    return int(value)


def read_flag(document: dict[str, Any], name: str) -> bool:
    """Returns a truth value; absent means false."""
    value = document.get(name, False)
    if not isinstance(value, bool):
        raise DocumentError(f"field {name}: true or false is needed")
    return value


def read_list(document: dict[str, Any], name: str, item: type[Value]) -> list[Value]:
    """Returns a list of one type; absent means empty."""
    value = document.get(name, [])
    if value is None:
        return []
    if not isinstance(value, list) or not all(
        isinstance(entry, item) and not (item is int and isinstance(entry, bool)) for entry in value
    ):
        raise DocumentError(f"field {name}: a list of {item.__name__} is needed")
    return value


def read_object(document: dict[str, Any], name: str) -> dict[str, Any]:
    """Returns a nested object; absent means empty."""
    value = document.get(name) or {}
    if not isinstance(value, dict):
        raise DocumentError(f"field {name}: an object is needed")
    return value


def parse_address(text: str) -> tuple[str, int]:
    """Returns IP number and port.

    Raises:
        DocumentError: the text is not of the form `host:port`.
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal():
        raise DocumentError(f"{text!r} is not an address")
    return host, int(port)
