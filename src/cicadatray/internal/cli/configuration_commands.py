"""Commands that show the configuration."""

import difflib
from typing import Annotated, Any, Literal

import msgspec
from cyclopts import Parameter

from cicadatray.internal.cli.application import configuration_commands, format_examples
from cicadatray.internal.cli.configuration_documents import KINDS, extract_document, read_document
from cicadatray.internal.cli.entry_options import DEFAULT_OPTIONS, EntryOptions
from cicadatray.internal.cli.exit_code import ExitCode
from cicadatray.internal.cli.session import open_session

CONFIGURATION_PATH = "/v1/configuration"
HISTORY_COLUMNS = ("VERSION", "KIND", "OPERATOR", "OPERATION")
HISTORY_FIELDS = ("version", "kind", "operator", "operation_id")
KindName = Literal["inventory", "rules", "accounts"]


@configuration_commands.command(
    name="show", help_epilogue=format_examples("configuration show", "configuration show rules")
)
async def show_configuration(
    kind: Annotated[KindName | None, Parameter(help="Only this document.")] = None,
    /,
    *,
    options: EntryOptions = DEFAULT_OPTIONS,
) -> ExitCode:
    """Prints the configuration in effect as JSON; credentials appear only as digests."""
    async with open_session(options) as session:
        configuration = await session.get_json(CONFIGURATION_PATH)
        if kind is not None:
            session.output.print_json(extract_document(configuration, kind))
        elif session.output.is_json:
            session.output.print_json(configuration)
        else:
            session.output.print_fields(_summary(configuration))
    return ExitCode.OK


@configuration_commands.command(
    name="diff",
    help_epilogue=format_examples(
        "configuration diff rules rules.json", "configuration diff inventory register.csv"
    ),
)
async def diff_configuration(
    kind: Annotated[KindName, Parameter(help="The document to compare.")],
    file: Annotated[str, Parameter(help="File to compare with; - for standard input.")],
    /,
    *,
    options: EntryOptions = DEFAULT_OPTIONS,
) -> ExitCode:
    """Shows what a file would change; exit code 0 whether or not there is a difference."""
    document = read_document(kind, file)
    async with open_session(options) as session:
        configuration = await session.get_json(CONFIGURATION_PATH)
        lines = diff_documents(extract_document(configuration, kind), document)
        if session.output.is_json:
            session.output.print_json({"version": configuration.get("version"), "diff": lines})
        else:
            session.output.print_text("\n".join(lines) or "no difference")
    return ExitCode.OK


@configuration_commands.command(
    name="history",
    help_epilogue=format_examples("configuration history", "configuration history --json"),
)
async def show_history(
    *,
    limit: Annotated[int, Parameter(show_default=True, help="At most this many, the newest.")] = 50,
    options: EntryOptions = DEFAULT_OPTIONS,
) -> ExitCode:
    """Lists accepted changes, the newest last."""
    async with open_session(options) as session:
        response = await session.get_json(f"{CONFIGURATION_PATH}/history")
        changes = response.get("changes", [])[-max(1, limit) :]
        if session.output.is_json:
            session.output.print_json({"changes": changes})
        else:
            rows = [[change.get(field) for field in HISTORY_FIELDS] for change in changes]
            session.output.print_table(HISTORY_COLUMNS, rows)
    return ExitCode.OK


def diff_documents(old: Any, new: Any) -> list[str]:
    """Returns a unified diff of two documents in a canonical form."""
    old_lines = _canonical_lines(old)
    new_lines = _canonical_lines(new)
    return list(difflib.unified_diff(old_lines, new_lines, "in effect", "file", lineterm="", n=2))


def _canonical_lines(value: Any) -> list[str]:
    encoded = msgspec.json.encode(value, order="sorted")
    return msgspec.json.format(encoded, indent=2).decode().splitlines()


def _summary(configuration: dict[str, Any]) -> dict[str, Any]:
    documents = {kind: extract_document(configuration, kind) or {} for kind in KINDS}
    rules = documents["rules"]
    return {
        "version": configuration.get("version"),
        "workers": len(documents["inventory"].get("workers", [])),
        "policy": rules.get("policy"),
        "large job": rules.get("large_job"),
        "guarantees": len(rules.get("guarantees", [])),
        "accounts": [a.get("client_account") for a in documents["accounts"].get("accounts", [])],
    }
