"""HTTP routes for jobs."""

import hashlib
import secrets

import msgspec
from starlette.requests import Request
from starlette.responses import Response

from cicadatray.internal.entry.authentication import authenticate
from cicadatray.internal.entry.entry_context import CONTROL_TIMEOUT_S, EntryContext
from cicadatray.internal.entry.errors import EntryError
from cicadatray.internal.entry.http_body import read_document
from cicadatray.internal.entry.http_requests import (
    TRACE_HEADER,
    TRACE_ID_BYTES,
    read_idempotency_key,
)
from cicadatray.internal.entry.http_responses import json_response
from cicadatray.internal.wire.messages.job_messages import (
    CancelJob,
    ExplainJob,
    ExplanationReply,
    JobsReply,
    JobView,
    ReadJob,
    ReadJobs,
    SubmitJob,
)
from cicadatray.scheduling.job_request import JobRequest
from cicadatray.scheduling.placement import Placement
from cicadatray.scheduling.shape import Shape

JOB_ID_HEX_DIGITS = 20
DIGEST_BYTES = 16
MAX_WAIT_S = 30.0
# A long wait is split into calls of this length, so that the loss of the leader is detected soon.
WAIT_STEP_S = 0.5


class JobSubmission(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The body of a job submission; `payload` is passed to the workers unchanged."""

    shape: Shape
    declared_run_s: float = 0.0
    checkpointable: bool = False
    urgent: bool = False
    payload: str = ""


class JobDocument(msgspec.Struct, frozen=True):
    """A job in responses."""

    job_id: str
    state: str
    client_account: str
    shape: Shape
    urgent: bool
    reason: str
    placement: Placement | None
    epoch: int


class ExplanationDocument(msgspec.Struct, frozen=True):
    """An explanation of why a job waits, or of its placement."""

    job_id: str
    state: str
    reason: str
    needs: str
    would_displace: tuple[str, ...]


class JobsDocument(msgspec.Struct, frozen=True):
    """The jobs of a client account."""

    jobs: tuple[JobDocument, ...]


def job_document(view: JobView) -> JobDocument:
    """Returns the document that callers get for a job."""
    return JobDocument(
        job_id=view.request.job_id,
        state=view.state.value,
        client_account=view.request.client_account,
        shape=view.request.shape,
        urgent=view.request.urgent,
        reason=view.reason,
        placement=view.placement,
        epoch=view.epoch,
    )


async def submit_job(request: Request) -> Response:
    """Submits a job and responds once it is durable."""
    context: EntryContext = request.app.state.context
    context.reject_if_draining()
    account = authenticate(request, context.directory)
    key = read_idempotency_key(request)
    if not key:
        raise EntryError(400, "key_missing", "a job submission requires an Idempotency-Key header")
    submission = await read_document(request, JobSubmission)
    if submission.shape.accelerators < 1:
        raise EntryError(400, "invalid_body", "shape.accelerators must be at least 1")
    call = SubmitJob(
        request=JobRequest(
            job_id=_job_id(account.client_account, key),
            client_account=account.client_account,
            shape=submission.shape,
            declared_run_s=submission.declared_run_s,
            checkpointable=submission.checkpointable,
            urgent=submission.urgent,
            submitted_s=0.0,
        ),
        payload=submission.payload,
        digest=hashlib.sha256(msgspec.msgpack.encode(submission)).digest()[:DIGEST_BYTES],
        trace_id=request.headers.get(TRACE_HEADER) or secrets.token_hex(TRACE_ID_BYTES),
    )
    return _job_response(await context.call_control(call), 201)


async def list_jobs(request: Request) -> Response:
    """Returns the jobs of the caller's account."""
    context: EntryContext = request.app.state.context
    account = authenticate(request, context.directory)
    reply = await context.call_control(ReadJobs(client_account=account.client_account))
    assert isinstance(reply, JobsReply)
    return json_response(JobsDocument(tuple(job_document(view) for view in reply.jobs)))


async def show_job(request: Request) -> Response:
    """Returns a job; with `wait_s`, waits up to that long for its end."""
    context: EntryContext = request.app.state.context
    account = authenticate(request, context.directory)
    wait_s = _read_wait_s(request)
    while True:
        step_s = min(wait_s, WAIT_STEP_S)
        call = ReadJob(
            job_id=request.path_params["job_id"],
            client_account=account.client_account,
            wait_s=step_s,
        )
        reply = await context.call_control(call)
        wait_s -= step_s
        ended = isinstance(reply, JobView) and reply.state.value in (
            "completed",
            "failed",
            "cancelled",
        )
        if ended or wait_s <= 0 or await request.is_disconnected():
            return _job_response(reply, 200)


async def cancel_job(request: Request) -> Response:
    """Cancels a job."""
    context: EntryContext = request.app.state.context
    account = authenticate(request, context.directory)
    call = CancelJob(job_id=request.path_params["job_id"], client_account=account.client_account)
    return _job_response(await context.call_control(call, CONTROL_TIMEOUT_S), 200)


async def explain_job(request: Request) -> Response:
    """Returns an explanation of why a job waits, or of its placement."""
    context: EntryContext = request.app.state.context
    account = authenticate(request, context.directory)
    call = ExplainJob(job_id=request.path_params["job_id"], client_account=account.client_account)
    reply = await context.call_control(call)
    assert isinstance(reply, ExplanationReply)
    return json_response(
        ExplanationDocument(
            reply.job_id, reply.state, reply.reason, reply.needs, reply.would_displace
        )
    )


def _job_response(reply: object, status_code: int) -> Response:
    assert isinstance(reply, JobView)
    return json_response(job_document(reply), status_code)


def _job_id(client_account: str, key: str) -> str:
    """Returns the job ID for an idempotency key, which is the same at all entries.

    The length prefix distinguishes account `a/b` with key `c` from account `a` with key `b/c`.
    """
    name = f"{len(client_account)}:{client_account}/{key}"
    digest = hashlib.sha256(name.encode()).hexdigest()
    return f"job-{digest[:JOB_ID_HEX_DIGITS]}"


def _read_wait_s(request: Request) -> float:
    text = request.query_params.get("wait_s", "0")
    try:
        wait_s = float(text)
    except ValueError as error:
        raise EntryError(400, "invalid_wait", f"wait_s is not a number: {text!r}") from error
    if not 0 <= wait_s <= MAX_WAIT_S:
        raise EntryError(400, "invalid_wait", f"wait_s must be between 0 and {MAX_WAIT_S:.0f}")
    return wait_s
