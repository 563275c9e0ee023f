"""Maps errors reported by entries to exit codes."""

from cicadatray.internal.cli.entry_response import OUTCOME_HEADER, EntryResponse
from cicadatray.internal.cli.errors import ToolError
from cicadatray.internal.cli.exit_code import ExitCode

UNKNOWN_OUTCOME = "outcome_unknown"
NOT_RUN_OUTCOME = "not_run"
# The entry returns these before it acts on the request. After others, such as `control_unavailable`
# and `in_doubt`, control may have carried out a change.
NOT_RUN_CODES = ("entry_draining", "configuration_unconfirmed", "overloaded", "no_endpoint")
EXIT_CODES = {
    401: ExitCode.UNAUTHORIZED,
    403: ExitCode.UNAUTHORIZED,
    404: ExitCode.NOT_FOUND,
    409: ExitCode.CONFLICT,
    429: ExitCode.NOT_RUN,
}
CONFLICT_CODES = ("key_reused", "operation_id_reused", "version_conflict")
# Every entry refuses the same content in the same way. All other refusals, except conflicts with
# another change, apply to the last attempt only; an earlier attempt may have been carried out.
CONTENT_CODES = (
    "invalid_body",
    "invalid_key",
    "key_missing",
    "invalid_deadline",
    "invalid_wait",
    "invalid_data_centre",
    "body_too_large",
)


def find_exit_code(response: EntryResponse, is_change: bool) -> ExitCode:
    """Returns the exit code for an error response; `is_change` is that of the request."""
    code = response.error_body().code
    if response.headers.get(OUTCOME_HEADER) == UNKNOWN_OUTCOME:
        return ExitCode.OUTCOME_UNKNOWN
    if code in CONFLICT_CODES:
        return ExitCode.CONFLICT
    if response.earlier_answer_lost and is_change and code not in CONTENT_CODES:
        return ExitCode.OUTCOME_UNKNOWN
    default = ExitCode.NOT_RUN if response.status_code >= 500 else ExitCode.REFUSED
    if response.status_code >= 500 and is_change and not _confirms_not_run(response):
        default = ExitCode.OUTCOME_UNKNOWN
    return EXIT_CODES.get(response.status_code, default)


def _confirms_not_run(response: EntryResponse) -> bool:
    outcome = response.headers.get(OUTCOME_HEADER)
    return outcome == NOT_RUN_OUTCOME or response.error_body().code in NOT_RUN_CODES


def raise_for_error(response: EntryResponse, is_change: bool) -> None:
    """Raises an error with the matching exit code if the entry reports one.

    Raises:
        ToolError: the entry reports an error.
    """
    if not response.is_error():
        return
    error = response.error_body()
    detail = error.detail or f"HTTP status {response.status_code}"
    raise ToolError(find_exit_code(response, is_change), f"{error.code}: {detail}", error.code)
