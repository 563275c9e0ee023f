"""Entry point of the tool `cicadatray`."""

import os
import sys
from collections.abc import Sequence

import msgspec
from cyclopts import CycloptsError

from cicadatray.internal.cli import (
    change_commands,
    check_commands,
    configuration_commands,
    evacuation_commands,
    job_commands,
    local_commands,
    member_commands,
    operator_commands,
    request_commands,
)
from cicadatray.internal.cli.application import application
from cicadatray.internal.cli.errors import ToolError
from cicadatray.internal.cli.exit_code import ExitCode

COMMAND_MODULES = (
    request_commands,
    job_commands,
    configuration_commands,
    change_commands,
    check_commands,
    operator_commands,
    member_commands,
    evacuation_commands,
    local_commands,
)
JSON_OPTION = "--json"


def run(arguments: Sequence[str]) -> ExitCode:
    """Runs one command and returns its exit code; errors are printed on the standard error."""
    try:
        result = application(arguments, exit_on_error=False, result_action="return_value")
    except CycloptsError:
        return ExitCode.USAGE
    except ToolError as error:
        _print_error(error, JSON_OPTION in arguments)
        return error.exit_code
    except KeyboardInterrupt:
        return ExitCode.INTERRUPTED
    except BrokenPipeError:
        # The reader closed the pipe; Python would report the error again when it flushes at exit.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return ExitCode.FAILED
    return result if isinstance(result, ExitCode) else ExitCode.OK


def _print_error(error: ToolError, is_json: bool) -> None:
    if is_json:
        body = {"code": error.code, "detail": error.detail, "exit_code": error.exit_code}
        print(msgspec.json.encode({"error": body}).decode(), file=sys.stderr)
    else:
        print(f"cicadatray: {error.detail}", file=sys.stderr)


def main() -> None:
    """Runs the command given by the arguments of the process."""
    sys.exit(run(sys.argv[1:]))


if __name__ == "__main__":
    main()
