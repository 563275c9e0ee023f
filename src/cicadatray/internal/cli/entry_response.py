"""An answer of an entry to the tool."""

from typing import Any

import msgspec

OUTCOME_HEADER = "cicadatray-outcome"
CODE_HEADER = "cicadatray-code"
RETRY_AFTER_HEADER = "retry-after"
COMPLETED = "completed"
RETRIED_STATUS_CODES = (429, 502, 503, 504)


class ErrorBody(msgspec.Struct, frozen=True):
    """The body of an error; other members are kept for display."""

    code: str = ""
    detail: str = ""
    retry_after_s: float = 0.0


class EntryResponse(msgspec.Struct, frozen=True):
    """A complete answer; header names are in lower case.

    `answer_lost_before` tells that an earlier attempt of the same request may have been carried
    out.
    """

    status_code: int
    headers: dict[str, str]
    body: bytes
    answer_lost_before: bool = False

    def is_error(self) -> bool:
        """Tells whether the entry itself reports an error."""
        return self.status_code >= 400 and self.headers.get(OUTCOME_HEADER) != COMPLETED

    def error(self) -> ErrorBody:
        """Returns the error body, with the code of the header if the body has none."""
        try:
            error = msgspec.json.decode(self.body, type=ErrorBody)
        except msgspec.MsgspecError:
            error = ErrorBody()
        code = error.code or self.headers.get(CODE_HEADER) or f"http_{self.status_code}"
        return msgspec.structs.replace(error, code=code)

    def retry_after_s(self) -> float:
        """Returns after how long to come back, zero when that cannot help."""
        if not self.is_error() or self.status_code not in RETRIED_STATUS_CODES:
            return 0.0
        text = self.headers.get(RETRY_AFTER_HEADER, "")
        return float(text) if text.isdecimal() else self.error().retry_after_s

    def document(self) -> Any:
        """Returns the decoded JSON body.

        Raises:
            msgspec.MsgspecError: the body is not JSON.
        """
        return msgspec.json.decode(self.body)
