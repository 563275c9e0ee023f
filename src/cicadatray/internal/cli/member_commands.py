"""Commands that change the control group (operators)."""

from typing import Annotated, Any

import msgspec
from cyclopts import Parameter

from cicadatray.internal.cli.application import examples, member_commands
from cicadatray.internal.cli.entry_options import DEFAULT_OPTIONS, EntryOptions
from cicadatray.internal.cli.entry_request import EntryRequest
from cicadatray.internal.cli.errors import ToolError
from cicadatray.internal.cli.exit_code import ExitCode
from cicadatray.internal.cli.session import JSON_HEADERS, open_session
from cicadatray.internal.settings.common import PORT_LIMIT

MEMBERS_PATH = "/v1/members"
CHANGE_TIMEOUT_S = 30.0  # an entry gives a promotion 20 s

MemberName = Annotated[str, Parameter(help="`name` in the settings of the control instance.")]


@member_commands.command(
    name="add", help_epilogue=examples("member add control-oreamuno-2 10.20.3.11 7400")
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
    return await _change({"action": "add", "name": name, "host": host, "port": port}, options)


@member_commands.command(
    name="promote", help_epilogue=examples("member promote control-oreamuno-2")
)
async def promote_member(
    name: MemberName, /, *, options: EntryOptions = DEFAULT_OPTIONS
) -> ExitCode:
    """Makes a learner a voter once it has caught up."""
    return await _change({"action": "promote", "name": name}, options)


@member_commands.command(name="remove", help_epilogue=examples("member remove control-oreamuno"))
async def remove_member(
    name: MemberName, /, *, options: EntryOptions = DEFAULT_OPTIONS
) -> ExitCode:
    """Removes a control instance from the group."""
    return await _change({"action": "remove", "name": name}, options)


async def _change(change: dict[str, Any], options: EntryOptions) -> ExitCode:
    """A repeated change that is in effect succeeds, so it needs no operation ID."""
    request = EntryRequest(
        "POST",
        MEMBERS_PATH,
        msgspec.json.encode(change),
        JSON_HEADERS,
        changes=True,
        timeout_s=CHANGE_TIMEOUT_S,
    )
    async with open_session(options) as session:
        with session.output.progress(f"{change['action']} {change['name']}"):
            answer = await session.fetch(request)
        if session.output.json_wanted:
            session.output.document(answer)
        else:
            session.output.text(f"{change['action']} {change['name']} is in effect")
    return ExitCode.OK
