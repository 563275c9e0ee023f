"""Commands that change the configuration."""

from typing import Annotated, Any

import msgspec
from cyclopts import Parameter

from cicadatray.internal.cli.application import configuration_commands, examples
from cicadatray.internal.cli.configuration_commands import CONFIGURATION_PATH, diff_documents
from cicadatray.internal.cli.configuration_documents import document_of, read_document
from cicadatray.internal.cli.entry_options import DEFAULT_OPTIONS, EntryOptions
from cicadatray.internal.cli.entry_request import EntryRequest
from cicadatray.internal.cli.errors import ToolError
from cicadatray.internal.cli.exit_code import ExitCode
from cicadatray.internal.cli.session import JSON_HEADERS, Session, new_identifier, open_session

FileName = Annotated[str, Parameter(help="File; - for standard input.")]
ReplacesVersion = Annotated[
    int | None,
    Parameter(help="Version to replace; without it, the one in effect."),
]
OperationId = Annotated[
    str,
    Parameter(help="ID of an earlier invocation, to learn its outcome."),
]
DryRun = Annotated[bool, Parameter(help="Only show what would change.")]


class ChangeOrder(msgspec.Struct, frozen=True):
    """What an operator asks for; `replaces_version` None stands for the version in effect."""

    kind: str
    document: dict[str, Any]
    replaces_version: int | None
    operation_id: str
    dry_run: bool


@configuration_commands.command(
    name="import-inventory",
    help_epilogue=examples(
        "configuration import-inventory register.csv --dry-run",
        "configuration import-inventory register.json --replaces-version 41",
    ),
)
async def import_inventory(
    file: FileName,
    /,
    *,
    format: Annotated[str, Parameter(help="Format; without it, by the file's ending.")] = "",
    replaces_version: ReplacesVersion = None,
    operation_id: OperationId = "",
    dry_run: DryRun = False,
    options: EntryOptions = DEFAULT_OPTIONS,
) -> ExitCode:
    """Replaces the inventory with a member's asset register (CSV or JSON)."""
    document = read_document("inventory", file, format)
    order = ChangeOrder("inventory", document, replaces_version, operation_id, dry_run)
    return await _change(order, options)


@configuration_commands.command(
    name="set-rules",
    help_epilogue=examples("configuration set-rules rules.json --dry-run"),
)
async def set_rules(
    file: FileName,
    /,
    *,
    replaces_version: ReplacesVersion = None,
    operation_id: OperationId = "",
    dry_run: DryRun = False,
    options: EntryOptions = DEFAULT_OPTIONS,
) -> ExitCode:
    """Replaces the rules: policy, large job, guarantees and shares."""
    document = read_document("rules", file)
    order = ChangeOrder("rules", document, replaces_version, operation_id, dry_run)
    return await _change(order, options)


@configuration_commands.command(
    name="set-accounts",
    help_epilogue=examples("configuration set-accounts accounts.json --replaces-version 0"),
)
async def set_accounts(
    file: FileName,
    /,
    *,
    replaces_version: ReplacesVersion = None,
    operation_id: OperationId = "",
    dry_run: DryRun = False,
    options: EntryOptions = DEFAULT_OPTIONS,
) -> ExitCode:
    """Replaces the client accounts and the digests of their credentials."""
    document = read_document("accounts", file)
    order = ChangeOrder("accounts", document, replaces_version, operation_id, dry_run)
    return await _change(order, options)


async def _change(order: ChangeOrder, options: EntryOptions) -> ExitCode:
    if order.operation_id and order.replaces_version is None:
        # The outcome of an operation belongs to its whole content, and that includes the version.
        raise ToolError(ExitCode.USAGE, "--operation-id needs the --replaces-version it had")
    async with open_session(options) as session:
        if order.dry_run:
            return await _show_difference(session, order)
        if order.replaces_version is None:
            order = msgspec.structs.replace(order, replaces_version=await _version(session))
        return await _put(session, order)


async def _version(session: Session) -> int:
    configuration = await session.read(CONFIGURATION_PATH)
    return int(configuration["version"])


async def _show_difference(session: Session, order: ChangeOrder) -> ExitCode:
    configuration = await session.read(CONFIGURATION_PATH)
    lines = diff_documents(document_of(configuration, order.kind), order.document)
    if session.output.json_wanted:
        session.output.document({"version": configuration.get("version"), "diff": lines})
    else:
        session.output.text("\n".join(lines) or "no difference")
    return ExitCode.OK


async def _put(session: Session, order: ChangeOrder) -> ExitCode:
    operation_id = order.operation_id or new_identifier("op")
    session.output.note(f"operation id {operation_id}, replaces version {order.replaces_version}")
    body = {
        "document": order.document,
        "replaces_version": order.replaces_version,
        "operation_id": operation_id,
    }
    request = EntryRequest(
        "PUT",
        f"{CONFIGURATION_PATH}/{order.kind}",
        msgspec.json.encode(body),
        JSON_HEADERS,
        changes=True,
        repeats=bool(order.operation_id),
    )
    answer = await session.fetch(request)
    if session.output.json_wanted:
        session.output.document({**answer, "operation_id": operation_id})
    else:
        session.output.text(f"version {answer.get('version')} is accepted")
    return ExitCode.OK
