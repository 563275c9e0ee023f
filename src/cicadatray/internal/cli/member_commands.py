"""Commands that change the control group (operators)."""

from typing import Annotated, Any

import msgspec
from cyclopts import Parameter

from cicadatray.internal.cli.application import format_examples, member_commands
from cicadatray.internal.cli.entry_options import DEFAULT_OPTIONS, EntryOptions
from cicadatray.internal.cli.entry_request import EntryRequest
from cicadatray.internal.cli.errors import ToolError
from cicadatray.internal.cli.exit_code import ExitCode
from cicadatray.internal.cli.session import JSON_HEADERS, open_session
from cicadatray.internal.settings.common import PORT_LIMIT

MEMBERS_PATH = "/v1/members"
CHANGE_TIMEOUT_S = 30.0  # above the 20 s that an entry allows for a promotion

MemberName = Annotated[str, Parameter(help="`name` in the settings of the control instance.")]


@member_commands.command(
    name="add", help_epilogue=format_examples("member add control-oreamuno-2 10.20.3.11 7400")
)
async def add_member(
    name: MemberName,
    host: Annotated[str, Parameter(help="IP number of its `listen` address.")],
    port: Annotated[int, Parameter(help="Port of its `listen` address.")],
    /,
    *,
    options: EntryOptions = DEFAULT_OPTIONS,
) -> ExitCode:
    """Adds a control instance as a learner, which does not vote yet."""
    if not 1 <= port <= PORT_LIMIT:
        raise ToolError(ExitCode.USAGE, f"port {port}: expected 1 to {PORT_LIMIT}")
    return await _apply_change({"action": "add", "name": name, "host": host, "port": port}, options)


@member_commands.command(
    name="promote", help_epilogue=format_examples("member promote control-oreamuno-2")
)
async def promote_member(
    name: MemberName, /, *, options: EntryOptions = DEFAULT_OPTIONS
) -> ExitCode:
    """Makes a learner a voter once it has caught up."""
    return await _apply_change({"action": "promote", "name": name}, options)


@member_commands.command(
    name="remove", help_epilogue=format_examples("member remove control-oreamuno")
)
async def remove_member(
    name: MemberName, /, *, options: EntryOptions = DEFAULT_OPTIONS
) -> ExitCode:
    """Removes a control instance from the group."""
    return await _apply_change({"action": "remove", "name": name}, options)


async def _apply_change(change: dict[str, Any], options: EntryOptions) -> ExitCode:
    """Sends the change; repeating a change in effect succeeds, so no operation ID is needed."""
    request = EntryRequest(
        "POST",
        MEMBERS_PATH,
        msgspec.json.encode(change),
        JSON_HEADERS,
        is_change=True,
        timeout_s=CHANGE_TIMEOUT_S,
    )
    async with open_session(options) as session:
        with session.output.show_progress(f"{change['action']} {change['name']}"):
            response = await session.fetch_json(request)
        if session.output.is_json:
            session.output.print_json(response)
        else:
            session.output.print_text(f"{change['action']} {change['name']} is in effect")
    return ExitCode.OK
