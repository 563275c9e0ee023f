"""A fault of an inventory or of rules."""

import msgspec


class ConfigurationFault(msgspec.Struct, frozen=True):
    """A value that is not valid: `path` locates it, `expected` describes the valid values."""

    path: str
    value: str
    expected: str
