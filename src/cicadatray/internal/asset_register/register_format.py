"""The registry of asset register formats."""

from collections.abc import Callable

import msgspec
from returns.result import Result

from cicadatray.internal.asset_register.errors import ImportRefusedError
from cicadatray.internal.settings.document_fault import DocumentFault
from cicadatray.scheduling.inventory import Inventory

ParseResult = Result[Inventory, tuple[DocumentFault, ...]]
Parser = Callable[[bytes], ParseResult]


class RegisterFormat(msgspec.Struct, frozen=True):
    """A parser and the file name extension that selects it."""

    name: str
    extension: str
    parse: Parser


register_formats: dict[str, RegisterFormat] = {}


def register_format(name: str, extension: str) -> Callable[[Parser], Parser]:
    """Returns a decorator that registers a parser under a name and a file name extension."""

    def register(parser: Parser) -> Parser:
        register_formats[name] = RegisterFormat(name, extension, parser)
        return parser

    return register


def find_format(source: str, name: str = "") -> RegisterFormat:
    """Returns the format with this name, or without a name the one for the extension of `source`.

    Raises:
        ImportRefusedError: there is no such format.
    """
    for candidate in register_formats.values():
        if candidate.name == name or (not name and source.lower().endswith(candidate.extension)):
            return candidate
    names = ", ".join(sorted(register_formats))
    raise ImportRefusedError(f"{source}: unknown format; expected one of {names}")
