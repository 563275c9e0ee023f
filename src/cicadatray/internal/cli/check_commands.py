"""The command that checks a configuration before it is sent."""

from collections.abc import Sequence
from typing import Annotated, Any

import msgspec
from cyclopts import Parameter

from cicadatray.internal.cli.application import configuration_commands, format_examples
from cicadatray.internal.cli.configuration_check import CheckReport, check_candidate
from cicadatray.internal.cli.configuration_commands import CONFIGURATION_PATH
from cicadatray.internal.cli.documents import read_input
from cicadatray.internal.cli.entry_options import DEFAULT_OPTIONS, EntryOptions
from cicadatray.internal.cli.errors import ToolError
from cicadatray.internal.cli.exit_code import ExitCode
from cicadatray.internal.cli.output import Output
from cicadatray.internal.cli.session import open_session
from cicadatray.scheduling.configuration_fault import ConfigurationFault


@configuration_commands.command(
    name="check",
    help_epilogue=format_examples(
        "configuration check configuration.json",
        "configuration check new.json --against old.json --json",
    ),
)
async def check_file(
    file: Annotated[
        str, Parameter(help="Configuration as `configuration show --json` prints it, or parts.")
    ],
    /,
    *,
    against: Annotated[str, Parameter(help="File to compare with; else the one in effect.")] = "",
    options: EntryOptions = DEFAULT_OPTIONS,
) -> ExitCode:
    """Reports faults, entries without effect and differences; changes nothing."""
    candidate = _read_configuration(file)
    if against:
        report = check_candidate(candidate, _read_configuration(against))
        return _print_report(Output(options.json), report)
    async with open_session(options) as session:
        in_effect = await session.get_json(CONFIGURATION_PATH)
        return _print_report(session.output, check_candidate(candidate, in_effect))


def _read_configuration(path: str) -> dict[str, Any]:
    try:
        value = msgspec.json.decode(read_input(path))
    except msgspec.MsgspecError as error:
        raise ToolError(ExitCode.FAULTY_DOCUMENT, f"{path}: {error}", "faulty_document") from error
    if not isinstance(value, dict):
        detail = f"{path}: expected a JSON object with inventory, rules or accounts"
        raise ToolError(ExitCode.FAULTY_DOCUMENT, detail, "faulty_document")
    return value


def _print_report(output: Output, report: CheckReport) -> ExitCode:
    if output.is_json:
        output.print_json(report)
    else:
        _print_findings(output, "fault", report.faults)
        _print_findings(output, "warning", report.warnings)
        for kind, lines in report.differences.items():
            output.print_text(output.sanitise("\n".join([f"{kind}:", *lines])))
        if not report.differences:
            output.print_text("no difference")
    return ExitCode.FAULTY_DOCUMENT if report.faults else ExitCode.OK


def _print_findings(output: Output, name: str, findings: Sequence[ConfigurationFault]) -> None:
    for finding in findings:
        text = f"{name}: {finding.path}: {finding.value!r}, expected {finding.expected}"
        output.print_text(output.sanitise(text))
