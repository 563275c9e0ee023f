"""Commands that run locally, without a deployment."""

from pathlib import Path
from typing import Annotated, Literal

from cyclopts import Parameter

from cicadatray.internal.cli.application import application, format_examples
from cicadatray.internal.cli.exit_code import ExitCode
from cicadatray.internal.cli.output import Output
from cicadatray.internal.settings.errors import SettingsError
from cicadatray.internal.settings.load import load_settings


@application.command(
    name="check",
    help_epilogue=format_examples(
        "check /etc/cicadatray/control.json", "check examples/cartago/*.json --json"
    ),
)
def check_settings(
    settings: Annotated[list[Path], Parameter(help="Settings files.")],
    /,
    *,
    json: Annotated[bool, Parameter(help="Print JSON for programs.")] = False,
) -> ExitCode:
    """Checks settings files without starting anything and reports every fault."""
    output = Output(json)
    results = {str(path): _check_file(path) for path in settings}
    if json:
        output.print_json({path: _describe(error) for path, error in results.items()})
    for path, error in results.items():
        if error is not None:
            output.print_note(str(error))
        elif not json:
            output.print_text(f"{path}: no faults")
    return ExitCode.FAULTY_DOCUMENT if any(results.values()) else ExitCode.OK


def _check_file(path: Path) -> SettingsError | None:
    try:
        load_settings(path)
    except SettingsError as error:
        return error
    return None


def _describe(error: SettingsError | None) -> dict[str, object]:
    if error is None:
        return {"faults": []}
    return {"detail": str(error), "faults": error.faults}


@application.command(
    name="completion",
    help_epilogue=format_examples("completion bash > ~/.cicadatray-completion"),
)
def print_completion(
    shell: Annotated[Literal["bash", "zsh", "fish"], Parameter(help="The shell.")], /
) -> ExitCode:
    """Prints a completion script for a shell."""
    Output(is_json=False).print_text(application.generate_completion(shell=shell))
    return ExitCode.OK
