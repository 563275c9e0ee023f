"""Commands on processes of the deployment (operators)."""

from typing import Annotated
from urllib.parse import quote

from cyclopts import Parameter

from cicadatray.internal.cli.application import application, format_examples
from cicadatray.internal.cli.entry_options import DEFAULT_OPTIONS, EntryOptions
from cicadatray.internal.cli.entry_request import EntryRequest
from cicadatray.internal.cli.exit_code import ExitCode
from cicadatray.internal.cli.metrics_text import parse_metrics_text
from cicadatray.internal.cli.session import open_session

AGENT_COLUMNS = ("AGENT", "DATA CENTRE", "SERVICE", "SLOTS", "WORKER", "DRAINING")
AGENT_FIELDS = ("agent_id", "data_centre", "service", "slots", "worker_id", "draining")


@application.command(
    name="directory", help_epilogue=format_examples("directory", "directory --draining --json")
)
async def show_directory(
    *,
    draining: Annotated[bool, Parameter(help="Only agents that leave.")] = False,
    options: EntryOptions = DEFAULT_OPTIONS,
) -> ExitCode:
    """Lists the agents that the entry knows (operators)."""
    async with open_session(options) as session:
        directory = await session.get_json("/v1/directory")
        agents = [a for a in directory.get("agents", []) if a.get("draining") or not draining]
        if session.output.is_json:
            session.output.print_json({**directory, "agents": agents})
        else:
            rows = [[agent.get(field) for field in AGENT_FIELDS] for agent in agents]
            session.output.print_table(AGENT_COLUMNS, rows)
    return ExitCode.OK


@application.command(name="dump", help_epilogue=format_examples("dump control-paraiso"))
async def dump_process(
    name: Annotated[str, Parameter(help="`name` in the settings of the process.")],
    /,
    *,
    options: EntryOptions = DEFAULT_OPTIONS,
) -> ExitCode:
    """Prints the state of a process as JSON (operators)."""
    async with open_session(options) as session:
        path = f"/v1/processes/{quote(name, safe='')}/dump"
        session.output.print_json(await session.get_json(path))
    return ExitCode.OK


@application.command(name="metrics", help_epilogue=format_examples("metrics", "metrics --json"))
async def show_metrics(*, options: EntryOptions = DEFAULT_OPTIONS) -> ExitCode:
    """Prints the metrics of the first entry that answers."""
    async with open_session(options) as session:
        response = await session.call(EntryRequest("GET", "/metrics"))
        text = response.body.decode("utf-8", "replace")
        if session.output.is_json:
            session.output.print_json({"samples": parse_metrics_text(text)})
        else:
            session.output.print_text(session.output.sanitise(text))
    return ExitCode.OK
