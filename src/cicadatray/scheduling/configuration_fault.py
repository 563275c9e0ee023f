"""A fault of an inventory or of rules."""

import msgspec


class ConfigurationFault(msgspec.Struct, frozen=True):
    """`path` locates the value, `expected` says what would be right."""

    path: str
    value: str
    expected: str
