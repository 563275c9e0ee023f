"""Typed access to fields of untrusted documents."""

from typing import Any, TypeVar

import msgspec

from cicadatray.platform.errors import DocumentError

Value = TypeVar("Value")
# Far above every count, size and time of the platform; a larger number is corrupt.
MAX_NUMBER = 10**15
# The platform gives times in milliseconds; internally they are in seconds.
MS_PER_S = 1000


def parse_json(body: bytes) -> dict[str, Any]:
    """Returns the JSON object in a body.

    Raises:
        DocumentError: the body is not a JSON object.
    """
    try:
        document = msgspec.json.decode(body)
    except (msgspec.MsgspecError, RecursionError, ValueError) as error:
        raise DocumentError(f"invalid JSON body: {error}") from error
    if not isinstance(document, dict):
        raise DocumentError("the body is not a JSON object")
    return document


def read_string(document: dict[str, Any], name: str, default: str | None = None) -> str:
    """Returns a string; the field is required if there is no default."""
    value = document.get(name, default)
    if not isinstance(value, str):
        raise DocumentError(f"field {name} must be a string")
    return value


def read_number(document: dict[str, Any], name: str, default: float | None = None) -> float:
    """Returns a non-negative number; the field is required if there is no default."""
    value = document.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise DocumentError(f"field {name} must be a number")
    if not 0 <= value <= MAX_NUMBER:
        raise DocumentError(f"field {name} is out of range: {value}")
    return value


def read_integer(document: dict[str, Any], name: str, default: int | None = None) -> int:
    """Returns a non-negative integer; the field is required if there is no default."""
    value = read_number(document, name, default)
    if value != int(value):
        raise DocumentError(f"field {name} must be an integer")
    return int(value)


def read_boolean(document: dict[str, Any], name: str) -> bool:
    """Returns a boolean, False if the field is absent."""
    value = document.get(name, False)
    if not isinstance(value, bool):
        raise DocumentError(f"field {name} must be a boolean")
    return value


def read_list(document: dict[str, Any], name: str, item_type: type[Value]) -> list[Value]:
    """Returns a list with items of one type, empty if the field is absent or null."""
    value = document.get(name, [])
    if value is None:
        return []
    if not isinstance(value, list) or not all(
        isinstance(item, item_type) and not (item_type is int and isinstance(item, bool))
        for item in value
    ):
        raise DocumentError(f"field {name} must be a list of {item_type.__name__}")
    return value


def read_object(document: dict[str, Any], name: str) -> dict[str, Any]:
    """Returns a nested object, empty if the field is absent, null or empty."""
    value = document.get(name) or {}
    if not isinstance(value, dict):
        raise DocumentError(f"field {name} must be an object")
    return value


def parse_address(text: str) -> tuple[str, int]:
    """Returns the host and port of an address.

    Raises:
        DocumentError: the text does not have the form `host:port`.
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal():
        raise DocumentError(f"{text!r} is not an address of the form host:port")
    return host, int(port)
