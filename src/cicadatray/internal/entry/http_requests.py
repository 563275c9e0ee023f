"""HTTP route for requests to endpoints."""

import asyncio
import secrets

from starlette.requests import Request
from starlette.responses import Response

from cicadatray.internal.entry.authentication import authenticate
from cicadatray.internal.entry.caller_request import CallerRequest
from cicadatray.internal.entry.entry_context import EntryContext, draining_error
from cicadatray.internal.entry.errors import EntryError
from cicadatray.internal.entry.http_body import read_body
from cicadatray.internal.entry.http_responses import close_connection_if_draining, outcome_response
from cicadatray.internal.entry.request_outcome import RequestOutcome, not_run, outcome_unknown

KEY_HEADER = "idempotency-key"
NON_IDEMPOTENT_HEADER = "request-non-idempotent"
DEADLINE_HEADER = "request-deadline-ms"
TRACE_HEADER = "trace-id"
MAX_KEY_CHARACTERS = 128
TRACE_ID_BYTES = 8
MS_PER_S = 1000.0
MAX_DEADLINE_S = 3600.0
CALLER_GONE_CODE = "caller_gone"


async def send_request(request: Request) -> Response:
    """Runs a request and responds with its final outcome."""
    context: EntryContext = request.app.state.context
    try:
        caller_request = await _read_request(request, context)
    except EntryError as error:
        if not error.retry_after_s:
            raise
        return outcome_response(_rejection_outcome(request, error))
    if context.draining and context.requests.find(caller_request) is None:
        outcome = _rejection_outcome(request, draining_error())
        metrics = context.requests.resources.metrics
        metrics.record_refusal(caller_request.client_account, outcome.code)
    else:
        outcome = await _run_while_connected(request, context, caller_request)
    response = outcome_response(outcome)
    response.headers[TRACE_HEADER] = caller_request.trace_id
    close_connection_if_draining(request, response)
    return response


async def _read_request(request: Request, context: EntryContext) -> CallerRequest:
    account = authenticate(request, context.directory)
    headers = request.headers
    key = read_idempotency_key(request)
    non_idempotent = _is_non_idempotent(request)
    if non_idempotent and not key:
        raise EntryError(
            400, "key_missing", "a non-idempotent request requires an Idempotency-Key header"
        )
    deadline_s = _read_deadline_s(request, context.settings.default_deadline_s)
    return CallerRequest(
        client_account=account.client_account,
        service=request.path_params["service"],
        body=await read_body(request),
        content_type=headers.get("content-type", "application/octet-stream"),
        key=key,
        non_idempotent=non_idempotent,
        deadline_s=asyncio.get_running_loop().time() + deadline_s,
        trace_id=headers.get(TRACE_HEADER) or secrets.token_hex(TRACE_ID_BYTES),
    )


def _is_non_idempotent(request: Request) -> bool:
    return request.headers.get(NON_IDEMPOTENT_HEADER, "").lower() == "true"


def _rejection_outcome(request: Request, error: EntryError) -> RequestOutcome:
    """Returns the outcome of a request that was rejected before its key was looked up.

    An earlier send of the same non-idempotent request may have run; only its record in the
    replicated log shows whether it has.
    """
    if _is_non_idempotent(request):
        return outcome_unknown(error.code, error.detail, error.retry_after_s)
    return not_run(error.status_code, error.code, error.detail, error.retry_after_s)


def read_idempotency_key(request: Request) -> str:
    """Returns the idempotency key, or an empty string if there is none.

    Raises:
        EntryError: the key is too long or not printable.
    """
    key = request.headers.get(KEY_HEADER, "")
    if len(key) > MAX_KEY_CHARACTERS or not key.isprintable():
        detail = f"Idempotency-Key must have at most {MAX_KEY_CHARACTERS} printable characters"
        raise EntryError(400, "invalid_key", detail)
    return key


def _read_deadline_s(request: Request, default_s: float) -> float:
    text = request.headers.get(DEADLINE_HEADER)
    if text is None:
        return default_s
    if not text.isdecimal() or not 0 < int(text) / MS_PER_S <= MAX_DEADLINE_S:
        detail = f"Request-Deadline-Ms must be an integer up to {MAX_DEADLINE_S * MS_PER_S:.0f}"
        raise EntryError(400, "invalid_deadline", detail)
    return int(text) / MS_PER_S


async def _run_while_connected(
    request: Request, context: EntryContext, caller_request: CallerRequest
) -> RequestOutcome:
    run_task = asyncio.create_task(context.requests.run(caller_request))
    disconnect_task = asyncio.create_task(_wait_for_disconnect(request))
    try:
        await asyncio.wait((run_task, disconnect_task), return_when=asyncio.FIRST_COMPLETED)
        if run_task.done():
            return await run_task
        return outcome_unknown(CALLER_GONE_CODE, "the caller has disconnected")
    finally:
        run_task.cancel()
        disconnect_task.cancel()


async def _wait_for_disconnect(request: Request) -> None:
    while (await request.receive())["type"] != "http.disconnect":
        pass
