"""Commands that change the configuration."""

from typing import Annotated, Any

import msgspec
from cyclopts import Parameter

from cicadatray.internal.cli.application import configuration_commands, format_examples
from cicadatray.internal.cli.configuration_commands import CONFIGURATION_PATH, diff_documents
from cicadatray.internal.cli.configuration_documents import extract_document, read_document
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


class ChangeRequest(msgspec.Struct, frozen=True):
    """A change of one document; without `replaces_version` it replaces the version in effect."""

    kind: str
    document: dict[str, Any]
    replaces_version: int | None
    operation_id: str
    dry_run: bool


@configuration_commands.command(
    name="import-inventory",
    help_epilogue=format_examples(
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
    change = ChangeRequest("inventory", document, replaces_version, operation_id, dry_run)
    return await _apply_change(change, options)


@configuration_commands.command(
    name="set-rules",
    help_epilogue=format_examples("configuration set-rules rules.json --dry-run"),
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
    change = ChangeRequest("rules", document, replaces_version, operation_id, dry_run)
    return await _apply_change(change, options)


@configuration_commands.command(
    name="set-accounts",
    help_epilogue=format_examples("configuration set-accounts accounts.json --replaces-version 0"),
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
    change = ChangeRequest("accounts", document, replaces_version, operation_id, dry_run)
    return await _apply_change(change, options)


async def _apply_change(change: ChangeRequest, options: EntryOptions) -> ExitCode:
    if change.operation_id and change.replaces_version is None:
        # The deployment identifies an operation by its whole content, including the version.
        raise ToolError(
            ExitCode.USAGE,
            "--operation-id requires the original --replaces-version",
        )
    async with open_session(options) as session:
        if change.dry_run:
            return await _show_diff(session, change)
        if change.replaces_version is None:
            change = msgspec.structs.replace(change, replaces_version=await _get_version(session))
        return await _put_document(session, change)


async def _get_version(session: Session) -> int:
    configuration = await session.get_json(CONFIGURATION_PATH)
    return int(configuration["version"])


async def _show_diff(session: Session, change: ChangeRequest) -> ExitCode:
    configuration = await session.get_json(CONFIGURATION_PATH)
    lines = diff_documents(extract_document(configuration, change.kind), change.document)
    if session.output.is_json:
        session.output.print_json({"version": configuration.get("version"), "diff": lines})
    else:
        session.output.print_text("\n".join(lines) or "no difference")
    return ExitCode.OK


async def _put_document(session: Session, change: ChangeRequest) -> ExitCode:
    operation_id = change.operation_id or new_identifier("op")
    session.output.print_note(
        f"operation id {operation_id}, replaces version {change.replaces_version}"
    )
    body = {
        "document": change.document,
        "replaces_version": change.replaces_version,
        "operation_id": operation_id,
    }
    request = EntryRequest(
        "PUT",
        f"{CONFIGURATION_PATH}/{change.kind}",
        msgspec.json.encode(body),
        JSON_HEADERS,
        is_change=True,
        is_resend=bool(change.operation_id),
    )
    response = await session.fetch_json(request)
    if session.output.is_json:
        session.output.print_json({**response, "operation_id": operation_id})
    else:
        session.output.print_text(f"version {response.get('version')} is accepted")
    return ExitCode.OK
