"""Errors of the command line tool."""

from cicadatray.internal.cli.exit_code import ExitCode


class ToolError(Exception):
    """Ends the command with an exit code; `detail` is human-readable, `code` is the error code."""

    def __init__(self, exit_code: ExitCode, detail: str, code: str = "") -> None:
        super().__init__(detail)
        self.exit_code = exit_code
        self.detail = detail
        self.code = code


class EntryUnreachableError(Exception):
    """The connection was not established, so nothing was sent."""


class AnswerLostError(Exception):
    """The request may have been sent, but no complete response was received."""
