"""Formats of string values that a JSON type cannot express."""

import ipaddress
import re
from collections.abc import Callable

import msgspec

FORMAT_KEY = "format"
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
SHA256_PATTERN = re.compile(r"[0-9a-f]{64}")

FormatCheck = Callable[[str], bool]


class ValueFormat(msgspec.Struct, frozen=True):
    """A format of string values; `expected` follows the word "expected" in fault reports."""

    expected: str
    accepts: FormatCheck


value_formats: dict[str, ValueFormat] = {}


def value_format(name: str, expected: str) -> Callable[[FormatCheck], FormatCheck]:
    """Returns a decorator that registers a check under the name used in field annotations."""

    def register(check: FormatCheck) -> FormatCheck:
        value_formats[name] = ValueFormat(expected, check)
        return check

    return register


def formatted(name: str) -> msgspec.Meta:
    """Returns the annotation of a string field with a registered format."""
    return msgspec.Meta(extra={FORMAT_KEY: name})


@value_format("ip_address", "an IP address such as 10.0.1.7 (host names are not resolved)")
def is_ip_address(text: str) -> bool:
    """Accepts IP addresses only, so that processes need no name service to reach each other."""
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


@value_format("name", "1 to 64 letters, digits, '.', '_' or '-', the first a letter or digit")
def is_name(text: str) -> bool:
    """Accepts names that are safe in URL paths and in file names."""
    return NAME_PATTERN.fullmatch(text) is not None


@value_format("path", "a non-empty path")
def is_path(text: str) -> bool:
    """Rejects an empty path, which would silently mean the current folder."""
    return bool(text.strip())


@value_format("optional_sha256", "64 lower-case hexadecimal digits, or an empty string")
def is_optional_sha256(text: str) -> bool:
    """Accepts the digest of a credential, or an empty string."""
    return not text or SHA256_PATTERN.fullmatch(text) is not None


@value_format("sha256", "64 lower-case hexadecimal digits")
def is_sha256(text: str) -> bool:
    """Accepts the digest of a credential."""
    return SHA256_PATTERN.fullmatch(text) is not None


@value_format("text", "a non-empty string without control characters")
def is_text(text: str) -> bool:
    """Accepts non-empty strings that can be shown on one line."""
    return bool(text.strip()) and text.isprintable()
