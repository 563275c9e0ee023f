"""The final outcome of a request."""

from enum import Enum

import msgspec


class OutcomeKind(Enum):
    """The kind of an outcome; its value is sent in the `Cicadatray-Outcome` header."""

    COMPLETED = "completed"
    NOT_RUN = "not_run"
    UNKNOWN = "outcome_unknown"


class RequestOutcome(msgspec.Struct, frozen=True):
    """The outcome of a request.

    For a completed request, `status_code`, `content_type` and `body` are those of the endpoint.
    """

    kind: OutcomeKind
    code: str
    status_code: int
    content_type: str = "application/json"
    body: bytes = b""
    detail: str = ""
    retry_after_s: float = 0.0


def completed(status_code: int, content_type: str, body: bytes) -> RequestOutcome:
    """Returns the outcome for a complete response of an endpoint."""
    return RequestOutcome(OutcomeKind.COMPLETED, "completed", status_code, content_type, body)


def not_run(status_code: int, code: str, detail: str, retry_after_s: float) -> RequestOutcome:
    """Returns the outcome for a request that has not run and will not run."""
    return RequestOutcome(
        OutcomeKind.NOT_RUN, code, status_code, detail=detail, retry_after_s=retry_after_s
    )


def outcome_unknown(code: str, detail: str, retry_after_s: float = 0.0) -> RequestOutcome:
    """Returns the outcome for a request that may have run and whose response is not available."""
    return RequestOutcome(
        OutcomeKind.UNKNOWN, code, 502, detail=detail, retry_after_s=retry_after_s
    )
