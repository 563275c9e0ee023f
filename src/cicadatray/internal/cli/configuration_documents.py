"""Configuration documents read from files and extracted from responses."""

from typing import Any

import msgspec

from cicadatray.internal.asset_register.errors import ImportRefusedError
from cicadatray.internal.asset_register.import_accounts import import_accounts
from cicadatray.internal.asset_register.import_inventory import import_inventory
from cicadatray.internal.asset_register.import_rules import import_rules
from cicadatray.internal.cli.documents import read_input
from cicadatray.internal.cli.errors import ToolError
from cicadatray.internal.cli.exit_code import ExitCode

KINDS = ("inventory", "rules", "accounts")


def read_document(kind: str, path: str, format_name: str = "") -> dict[str, Any]:
    """Reads and validates a document and returns it as JSON-compatible data.

    Raises:
        ToolError: the file cannot be read or has faults; the error lists all of them.
    """
    data = read_input(path)
    try:
        document = _import_document(kind, data, path, format_name)
    except ImportRefusedError as error:
        raise ToolError(ExitCode.FAULTY_DOCUMENT, str(error), "faulty_document") from error
    json_data: dict[str, Any] = msgspec.to_builtins(document)
    return json_data


def _import_document(kind: str, data: bytes, path: str, format_name: str) -> msgspec.Struct:
    if kind == "inventory":
        return import_inventory(data, path, format_name)
    if kind == "rules":
        return import_rules(data, path)
    return import_accounts(data, path)


def extract_document(configuration: dict[str, Any], kind: str) -> Any:
    """Returns a document of the configuration in effect, unwrapped if it comes with a version."""
    value = configuration.get(kind)
    if isinstance(value, dict) and "document" in value:
        return value["document"]
    return value
