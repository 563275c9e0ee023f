"""A response of an entry to the tool."""

from typing import Any

import msgspec

OUTCOME_HEADER = "cicadatray-outcome"
CODE_HEADER = "cicadatray-code"
RETRY_AFTER_HEADER = "retry-after"
COMPLETED = "completed"
RETRYABLE_STATUS_CODES = (429, 502, 503, 504)


class ErrorBody(msgspec.Struct, frozen=True):
    """The body of an error response; other members are ignored."""

    code: str = ""
    detail: str = ""
    retry_after_s: float = 0.0


class EntryResponse(msgspec.Struct, frozen=True):
    """A complete response; header names are in lower case.

    `earlier_answer_lost` is true if an earlier attempt of the same request may have been carried
    out.
    """

    status_code: int
    headers: dict[str, str]
    body: bytes
    earlier_answer_lost: bool = False

    def is_error(self) -> bool:
        """Returns whether the entry, and not the endpoint, reports an error."""
        return self.status_code >= 400 and self.headers.get(OUTCOME_HEADER) != COMPLETED

    def error_body(self) -> ErrorBody:
        """Returns the decoded error body; its code comes from the headers if the body has none."""
        try:
            error = msgspec.json.decode(self.body, type=ErrorBody)
        except msgspec.MsgspecError:
            error = ErrorBody()
        code = error.code or self.headers.get(CODE_HEADER) or f"http_{self.status_code}"
        return msgspec.structs.replace(error, code=code)

    def retry_after_s(self) -> float:
        """Returns the delay before a resend in seconds, 0 if no resend is called for."""
        if not self.is_error() or self.status_code not in RETRYABLE_STATUS_CODES:
            return 0.0
        text = self.headers.get(RETRY_AFTER_HEADER, "")
        return float(text) if text.isdecimal() else self.error_body().retry_after_s

    def decode_json(self) -> Any:
        """Returns the decoded JSON body.

        Raises:
            msgspec.MsgspecError: the body is not JSON.
        """
        return msgspec.json.decode(self.body)
