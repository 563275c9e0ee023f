"""Commands that evacuate data centres (operators)."""

from datetime import UTC, datetime
from typing import Annotated, Any
from urllib.parse import quote

import msgspec
from cyclopts import Parameter

from cicadatray.internal.cli.application import evacuation_commands, format_examples
from cicadatray.internal.cli.entry_options import DEFAULT_OPTIONS, EntryOptions
from cicadatray.internal.cli.entry_request import EntryRequest
from cicadatray.internal.cli.errors import ToolError
from cicadatray.internal.cli.exit_code import ExitCode
from cicadatray.internal.cli.output import Output
from cicadatray.internal.cli.session import JSON_HEADERS, new_identifier, open_session

EVACUATIONS_PATH = "/v1/evacuations"
EVACUATION_COLUMNS = ("DATA CENTRE", "SINCE", "BY", "WORKERS", "RUNS LEFT")

DataCentre = Annotated[str, Parameter(help="Name of the data centre.")]
OperationId = Annotated[
    str, Parameter(help="ID of an earlier invocation, to learn whether it was carried out.")
]


@evacuation_commands.command(
    name="list", help_epilogue=format_examples("evacuation list", "evacuation list --json")
)
async def list_evacuations(*, options: EntryOptions = DEFAULT_OPTIONS) -> ExitCode:
    """Lists the evacuated data centres."""
    async with open_session(options) as session:
        document = await session.get_json(EVACUATIONS_PATH)
        if session.output.is_json:
            session.output.print_json(document)
        else:
            _print_evacuations(session.output, document)
    return ExitCode.OK


@evacuation_commands.command(name="start", help_epilogue=format_examples("evacuation start caudan"))
async def start_evacuation(
    name: DataCentre,
    /,
    *,
    operation_id: OperationId = "",
    options: EntryOptions = DEFAULT_OPTIONS,
) -> ExitCode:
    """Starts nothing more in a data centre; what would run there for long is moved."""
    return await _order("PUT", name, operation_id, options)


@evacuation_commands.command(name="stop", help_epilogue=format_examples("evacuation stop caudan"))
async def stop_evacuation(
    name: DataCentre,
    /,
    *,
    operation_id: OperationId = "",
    options: EntryOptions = DEFAULT_OPTIONS,
) -> ExitCode:
    """Takes a data centre back into use."""
    return await _order("DELETE", name, operation_id, options)


async def _order(method: str, name: str, operation_id: str, options: EntryOptions) -> ExitCode:
    """Sends an order; all its attempts carry one operation ID, so a late one changes nothing."""
    if name in ("", ".", ".."):
        raise ToolError(ExitCode.USAGE, f"data centre {name!r}: expected its name")
    is_resend = bool(operation_id)
    operation_id = operation_id or new_identifier("op")
    request = EntryRequest(
        method,
        f"{EVACUATIONS_PATH}/{quote(name, safe='')}",
        msgspec.json.encode({"operation_id": operation_id}),
        JSON_HEADERS,
        is_change=True,
        is_resend=is_resend,
    )
    async with open_session(options) as session:
        session.output.print_note(f"operation id {operation_id}")
        document = await session.fetch_json(request)
        if session.output.is_json:
            session.output.print_json({**document, "operation_id": operation_id})
        else:
            _print_result(session.output, name, document)
        if document.get("is_evacuated") is (method == "PUT"):
            return ExitCode.OK
        session.output.print_note("this order was carried out before, and a later one replaced it")
    return ExitCode.CONFLICT


def _print_result(output: Output, name: str, document: dict[str, Any]) -> None:
    is_evacuated = document.get("is_evacuated") is True
    state = "is evacuated" if is_evacuated else "is in use"
    repeated = ", as before this order" if document.get("is_repeated") else ""
    output.print_text(output.sanitise(f"data centre {name} {state}{repeated}"))
    if document.get("is_announced") is False:
        output.print_text(output.sanitise(f"no worker of {name} is known; check the name"))
    unmet = document.get("unmet_accounts") or []
    if unmet:
        accounts = ", ".join(str(account) for account in unmet)
        text = f"guarantees that no longer fit what is left, by account: {accounts}"
        output.print_text(output.sanitise(text))
    if document.get("evacuations"):
        _print_evacuations(output, document)


def _print_evacuations(output: Output, document: dict[str, Any]) -> None:
    rows = [
        [
            evacuation.get("data_centre"),
            _format_time(evacuation.get("ordered_s")),
            evacuation.get("operator"),
            evacuation.get("workers"),
            evacuation.get("runs_left"),
        ]
        for evacuation in document.get("evacuations", [])
    ]
    output.print_table(EVACUATION_COLUMNS, rows)


def _format_time(time_s: Any) -> str:
    if not isinstance(time_s, int | float):
        return ""
    return datetime.fromtimestamp(time_s, UTC).strftime("%Y-%m-%dT%H:%M:%SZ")
