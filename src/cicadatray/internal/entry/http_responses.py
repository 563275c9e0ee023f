"""Rendering of HTTP responses."""

from typing import Any

import msgspec
from starlette.requests import Request
from starlette.responses import Response

from cicadatray.internal.entry.errors import EntryError
from cicadatray.internal.entry.request_outcome import OutcomeKind, RequestOutcome

OUTCOME_HEADER = "Cicadatray-Outcome"
CODE_HEADER = "Cicadatray-Code"
RETRY_AFTER_HEADER = "Retry-After"
UNREAD_BODY_STATUS_CODES = frozenset({408, 413})
JSON_TYPE = "application/json"


class ErrorBody(msgspec.Struct, frozen=True):
    """The body of every error response."""

    code: str
    detail: str
    retry_after_s: float = 0.0


def json_response(document: Any, status_code: int = 200) -> Response:
    """Returns a response with a JSON document."""
    return Response(msgspec.json.encode(document), status_code, media_type=JSON_TYPE)


def error_response(error: EntryError) -> Response:
    """Returns the response for an `EntryError`; no request was run at an endpoint."""
    body = ErrorBody(error.code, error.detail, error.retry_after_s)
    response = json_response(body, error.status_code)
    response.headers[CODE_HEADER] = error.code
    if error.status_code in UNREAD_BODY_STATUS_CODES:
        # The rest of the body may never arrive, or arrive so slowly that it would keep the
        # connection open indefinitely.
        response.headers["Connection"] = "close"
    _set_retry_after(response, error.retry_after_s)
    return response


def outcome_response(outcome: RequestOutcome) -> Response:
    """Returns the response for the final outcome of a request."""
    if outcome.kind is OutcomeKind.COMPLETED:
        headers = {"Content-Type": outcome.content_type}
        response = Response(outcome.body, outcome.status_code, headers=headers)
    else:
        body = ErrorBody(outcome.code, outcome.detail, outcome.retry_after_s)
        response = json_response(body, outcome.status_code)
        _set_retry_after(response, outcome.retry_after_s)
    response.headers[OUTCOME_HEADER] = outcome.kind.value
    response.headers[CODE_HEADER] = outcome.code
    return response


async def handle_entry_error(request: Request, error: Exception) -> Response:
    """Returns the response for an `EntryError` raised by a route."""
    assert isinstance(error, EntryError)
    response = error_response(error)
    close_connection_if_draining(request, response)
    return response


def close_connection_if_draining(request: Request, response: Response) -> None:
    """Marks the response as the last one on its connection if the entry is stopping."""
    if request.app.state.context.draining:
        response.headers["Connection"] = "close"


def _set_retry_after(response: Response, retry_after_s: float) -> None:
    if retry_after_s > 0:
        # The header holds whole seconds; rounding down would make callers resend too early.
        response.headers[RETRY_AFTER_HEADER] = str(max(1, int(retry_after_s + 0.999)))
