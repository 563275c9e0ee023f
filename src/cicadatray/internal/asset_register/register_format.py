"""The registry of asset register formats."""

from collections.abc import Callable

import msgspec
from returns.result import Result

from cicadatray.internal.asset_register.errors import ImportRefusedError
from cicadatray.internal.settings.document_fault import DocumentFault
from cicadatray.scheduling.inventory import Inventory

Parsed = Result[Inventory, tuple[DocumentFault, ...]]
Parser = Callable[[bytes], Parsed]


class RegisterFormat(msgspec.Struct, frozen=True):
    """A parser, and the file name ending that selects it."""

    name: str
    ending: str
    parse: Parser


register_formats: dict[str, RegisterFormat] = {}


def register_format(name: str, ending: str) -> Callable[[Parser], Parser]:
    """Registers the decorated parser under a name and a file name ending."""

    def register(parser: Parser) -> Parser:
        register_formats[name] = RegisterFormat(name, ending, parser)
        return parser

    return register


def find_format(source: str, name: str = "") -> RegisterFormat:
    """Returns the format of this name, or without a name the one of the source's ending.

    Raises:
        ImportRefusedError: there is no such format.
    """
    for known in register_formats.values():
        if known.name == name or (not name and source.lower().endswith(known.ending)):
            return known
    names = ", ".join(sorted(register_formats))
    raise ImportRefusedError(f"{source}: unknown format; expected one of {names}")
