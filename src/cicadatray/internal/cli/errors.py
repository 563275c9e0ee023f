"""Errors of the tool."""

from cicadatray.internal.cli.exit_code import ExitCode


class ToolError(Exception):
    """Ends the command with an exit code; the text is for people, `code` is the entry's."""

    def __init__(self, exit_code: ExitCode, detail: str, code: str = "") -> None:
        super().__init__(detail)
        self.exit_code = exit_code
        self.detail = detail
        self.code = code


class EntryUnreachableError(Exception):
    """The connection was not established, so nothing was sent."""


class AnswerLostError(Exception):
    """The request was sent, and no complete answer came back."""
