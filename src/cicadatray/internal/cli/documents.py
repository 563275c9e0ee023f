"""Reads files and the standard input."""

import sys
from pathlib import Path

from cicadatray.internal.cli.errors import ToolError
from cicadatray.internal.cli.exit_code import ExitCode

STANDARD_INPUT = "-"
MAX_INPUT_BYTES = 16 * 1024 * 1024


def read_input(path: str) -> bytes:
    """Returns the content of a file, or of the standard input for `-`.

    Raises:
        ToolError: the file cannot be read or is too large.
    """
    try:
        if path == STANDARD_INPUT:
            data = sys.stdin.buffer.read(MAX_INPUT_BYTES + 1)
        else:
            with Path(path).open("rb") as file:
                data = file.read(MAX_INPUT_BYTES + 1)
    except OSError as error:
        raise ToolError(ExitCode.USAGE, f"{path}: {error.strerror}") from error
    if len(data) > MAX_INPUT_BYTES:
        raise ToolError(ExitCode.USAGE, f"{path}: larger than {MAX_INPUT_BYTES} bytes")
    return data
