"""Formats of text values that a JSON type cannot state."""

import ipaddress
import re
from collections.abc import Callable

import msgspec

FORMAT_KEY = "format"
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
SHA256_PATTERN = re.compile(r"[0-9a-f]{64}")

FormatCheck = Callable[[str], bool]


class ValueFormat(msgspec.Struct, frozen=True):
    """`expected` completes the sentence "expected ..." in a fault report."""

    expected: str
    accepts: FormatCheck


value_formats: dict[str, ValueFormat] = {}


def value_format(name: str, expected: str) -> Callable[[FormatCheck], FormatCheck]:
    """Registers the decorated check under the name that a field's annotation refers to."""

    def register(check: FormatCheck) -> FormatCheck:
        value_formats[name] = ValueFormat(expected, check)
        return check

    return register


def formatted(name: str) -> msgspec.Meta:
    """Returns the annotation of a text field that must have a registered format."""
    return msgspec.Meta(extra={FORMAT_KEY: name})


@value_format("ip_number", "an IP number such as 10.0.1.7 (host names are not resolved)")
def is_ip_number(text: str) -> bool:
    """Processes reach each other by number, so that no name service is needed."""
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


@value_format("name", "1 to 64 letters, digits, '.', '_' or '-', the first a letter or digit")
def is_name(text: str) -> bool:
    """Names appear in URL paths and in file names."""
    return NAME_PATTERN.fullmatch(text) is not None


@value_format("path", "a path that is not empty")
def is_path(text: str) -> bool:
    """An empty path would silently mean the current folder."""
    return bool(text.strip())


@value_format("optional_sha256", "64 lower-case hexadecimal digits, or an empty text")
def is_optional_sha256(text: str) -> bool:
    """Accepts the digest of a credential, or none."""
    return not text or SHA256_PATTERN.fullmatch(text) is not None


@value_format("sha256", "64 lower-case hexadecimal digits")
def is_sha256(text: str) -> bool:
    """Accepts the digest of a credential."""
    return SHA256_PATTERN.fullmatch(text) is not None


@value_format("text", "a text that is not empty and has no control characters")
def is_text(text: str) -> bool:
    """Accepts what can be shown on one line."""
    return bool(text.strip()) and text.isprintable()
