"""Exit codes for the errors that entries report."""

from cicadatray.internal.cli.entry_response import OUTCOME_HEADER, EntryResponse
from cicadatray.internal.cli.errors import ToolError
from cicadatray.internal.cli.exit_code import ExitCode

UNKNOWN_OUTCOME = "outcome_unknown"
NOT_RUN_OUTCOME = "not_run"
# The entry refuses with these before it acts. Others, such as `control_unavailable` and `in_doubt`,
# leave open whether control has carried a change out.
NOTHING_DONE_CODES = ("entry_draining", "configuration_unconfirmed", "overloaded", "no_endpoint")
EXIT_CODES = {
    401: ExitCode.UNAUTHORIZED,
    403: ExitCode.UNAUTHORIZED,
    404: ExitCode.NOT_FOUND,
    409: ExitCode.CONFLICT,
    429: ExitCode.NOT_RUN,
}
CONFLICT_CODES = ("key_reused", "operation_id_reused", "version_conflict")
# These say that this attempt did nothing, which tells nothing about an earlier one.
INCONCLUSIVE = (ExitCode.NOT_RUN, ExitCode.UNAUTHORIZED)


def find_exit_code(response: EntryResponse, changes: bool) -> ExitCode:
    """Returns the exit code for an error answer to a request that `changes` something or not."""
    if response.headers.get(OUTCOME_HEADER) == UNKNOWN_OUTCOME:
        return ExitCode.OUTCOME_UNKNOWN
    if response.error().code in CONFLICT_CODES:
        return ExitCode.CONFLICT
    default = ExitCode.NOT_RUN if response.status_code >= 500 else ExitCode.REFUSED
    if response.status_code >= 500 and changes and not _says_nothing_done(response):
        default = ExitCode.OUTCOME_UNKNOWN
    exit_code = EXIT_CODES.get(response.status_code, default)
    if response.answer_lost_before and changes and exit_code in INCONCLUSIVE:
        return ExitCode.OUTCOME_UNKNOWN
    return exit_code


def _says_nothing_done(response: EntryResponse) -> bool:
    outcome = response.headers.get(OUTCOME_HEADER)
    return outcome == NOT_RUN_OUTCOME or response.error().code in NOTHING_DONE_CODES


def raise_for_error(response: EntryResponse, changes: bool) -> None:
    """Does nothing for an answer that is no error.

    Raises:
        ToolError: the entry reports an error.
    """
    if not response.is_error():
        return
    error = response.error()
    detail = error.detail or f"HTTP status {response.status_code}"
    raise ToolError(find_exit_code(response, changes), f"{error.code}: {detail}", error.code)
