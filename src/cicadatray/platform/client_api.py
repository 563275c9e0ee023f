"""The HTTP interface of clients: submitting, reading and cancelling jobs."""

import asyncio
import math
from collections.abc import Mapping

import structlog
from starlette.requests import ClientDisconnect, Request
from starlette.responses import Response
from starlette.types import Receive, Scope, Send

from cicadatray.internal.observability.graph_metrics import (
    client_call_attempts,
    client_call_seconds,
    client_call_wait_seconds,
    client_calls_late,
    leader_silence_seconds,
    refusals_in_doubt,
)
from cicadatray.internal.observability.metrics_registry import MetricsRegistry
from cicadatray.internal.wire.call_trace import CallTrace
from cicadatray.internal.wire.control_client import (
    ControlClient,
    ControlInDoubtError,
    ControlUnavailableError,
)
from cicadatray.internal.wire.decision_watch import DecisionWatch, decision_fields
from cicadatray.internal.wire.errors import WireError
from cicadatray.internal.wire.leader_probe import LeaderProbe
from cicadatray.internal.wire.message import Failure, MessageStruct
from cicadatray.internal.wire.messages.decision import Decision
from cicadatray.internal.wire.messages.graph_messages import (
    CancelGraph,
    QueueTarget,
    ReadGraph,
    SubmitGraph,
)
from cicadatray.platform.client_answers import render_error, render_reply, tells_outcome
from cicadatray.platform.configuration_document import digest_credential
from cicadatray.platform.decision_header import add_decision
from cicadatray.platform.errors import DocumentError
from cicadatray.platform.fields import MS_PER_S
from cicadatray.platform.job_document import decode_job
from cicadatray.platform.request_body import read_body

NO_LEADER_REASON = "there is currently no control leader"
IN_DOUBT_REASON = "it is not known whether an attempt of this call had an effect; send it again"
CREDENTIAL_SCHEME = "Token "
# The deadline of clients that send none; they wait at least this long.
DEFAULT_DEADLINE_S = 3.0
# The share of the client's deadline for the call to control; the rest is for the response.
CALL_TIMEOUT_SHARE = 0.85
MAX_CALL_TIMEOUT_S = 10.0
# The share of the call timeout after which a call that no leader has received is given up.
UNSENT_TIMEOUT_SHARE = 0.4
# Without a leader an instance of control or a relay answers the probe at least this often, unless
# this process is cut off.
ELECTION_CONTACT_S = 1.0
log = structlog.get_logger(__name__)


class ClientApi:
    """An ASGI application for all paths; control resolves host and path to a queue."""

    __slots__ = (
        "attempts",
        "body_limit_bytes",
        "call_seconds",
        "control",
        "decisions",
        "late_calls",
        "probe",
        "refusals_in_doubt",
        "wait_seconds",
    )

    def __init__(
        self,
        control: ControlClient,
        probe: LeaderProbe,
        body_limit_bytes: int,
        metrics: MetricsRegistry,
    ) -> None:
        self.attempts = client_call_attempts(metrics)
        self.call_seconds = client_call_seconds(metrics)
        self.wait_seconds = client_call_wait_seconds(metrics)
        self.late_calls = client_calls_late(metrics)
        self.refusals_in_doubt = refusals_in_doubt(metrics)
        leader_silence_seconds(metrics).read_from(self._leader_silence_s)
        self.decisions = DecisionWatch(metrics)
        self.control = control
        self.probe = probe
        self.body_limit_bytes = body_limit_bytes

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        request = Request(scope, receive)
        started_s = asyncio.get_running_loop().time()
        trace = CallTrace()
        try:
            response = await self._respond(request, trace)
        except ClientDisconnect:
            return
        duration_s = asyncio.get_running_loop().time() - started_s
        self._record(request, response.status_code, duration_s, trace)
        await response(scope, receive, send)

    def _record(
        self, request: Request, status_code: int, duration_s: float, trace: CallTrace
    ) -> None:
        """Observes the metrics of a call, and logs it if its answer comes too late."""
        status = str(status_code)
        self.call_seconds.observe(duration_s, method=request.method, status=status)
        if trace.attempts:
            self.attempts.increment(trace.attempts)
            self.wait_seconds.observe(trace.connection_wait_s, phase="connection")
            self.wait_seconds.observe(trace.reply_wait_s, phase="reply")
        deadline_s = _deadline_s(request.headers)
        if duration_s > deadline_s:
            self.late_calls.increment(status=status)
            log.warning(
                "call answered late",
                method=request.method,
                path=request.url.path,
                status=status_code,
                duration_s=round(duration_s, 3),
                deadline_s=deadline_s,
                **self._describe(trace),
            )

    def _leader_silence_s(self) -> float:
        silence_s = self.probe.contact().silence_s
        return math.nan if silence_s is None else silence_s

    def _describe(self, trace: CallTrace) -> dict[str, object]:
        """Returns the fields of a log line that tell why control did not reply."""
        contact = self.probe.contact()
        return {
            "leader": contact.leader,
            "leader_known_s": contact.known_for_s,
            "leader_silence_s": contact.silence_s,
            "relay": contact.relay,
            "asked": trace.asked,
            "attempts": trace.attempts,
            "connection_wait_s": round(trace.connection_wait_s, 3),
            "reply_wait_s": round(trace.reply_wait_s, 3),
        }

    async def _respond(self, request: Request, trace: CallTrace) -> Response:
        try:
            call = await self._decode(request)
        except DocumentError as error:
            log.info("request refused", path=request.url.path, reason=str(error))
            return render_error(400, str(error))
        if call is None:
            return render_error(405, "method not allowed; use POST, GET or DELETE")
        return await self._forward(request, call, trace)

    async def _forward(self, request: Request, call: MessageStruct, trace: CallTrace) -> Response:
        """Passes a call on to control and returns the answer to the client."""
        timeout_s = _call_timeout_s(request.headers)
        deadline_s = asyncio.get_running_loop().time() + timeout_s
        if not await self._has_leader(call, timeout_s):
            no_leader = ControlUnavailableError(NO_LEADER_REASON, may_have_effect=False)
            return self._unavailable(request, no_leader, trace, NO_LEADER_REASON)
        known = self.decisions.latest
        try:
            remaining_s = deadline_s - asyncio.get_running_loop().time()
            reply = await self._call(call, remaining_s, trace)
        except ControlInDoubtError as error:
            self.refusals_in_doubt.increment(code=error.refusal.code)
            return self._unavailable(request, error, trace, IN_DOUBT_REASON)
        except ControlUnavailableError as error:
            return self._unavailable(request, error, trace)
        except WireError as error:
            return self._unavailable(request, ControlUnavailableError(str(error)), trace)
        if not tells_outcome(reply):
            return self._unavailable(request, ControlUnavailableError(f"control: {reply}"), trace)
        return self._answer(request, reply, known, trace)

    def _answer(
        self, request: Request, reply: MessageStruct, known: Decision, trace: CallTrace
    ) -> Response:
        """Returns the answer for a reply of control; `known` is the decision before the call."""
        response = render_reply(reply)
        if self.decisions.is_older(reply, known) and 400 <= response.status_code < 500:
            # A refusal by an older configuration is not final.
            response = render_error(503, "the newest configuration could not be determined")
        if response.status_code >= 400:
            contact = self._describe(trace) if response.status_code >= 500 else {}
            log.info(
                "request refused",
                method=request.method,
                host=request.headers.get("host", ""),
                path=request.url.path,
                status=response.status_code,
                reason=reply.detail if isinstance(reply, Failure) else str(reply),
                **decision_fields(reply),
                **contact,
            )
        return add_decision(response, reply)

    async def _has_leader(self, call: MessageStruct, timeout_s: float) -> bool:
        """Returns whether the leader has replied recently; a read waits a while for one.

        While an election lasts, every entry would refuse within milliseconds, so that a client
        would use up its attempts before there is a leader. A process that is cut off refuses at
        once, because another entry may reach the leader. So are other calls refused: a submission
        that waits for a leader is rather late than one that is sent again.
        """
        if self.probe.has_recent_leader_reply():
            return True
        if not isinstance(call, ReadGraph) or not self.probe.is_connected(ELECTION_CONTACT_S):
            return False
        return await self.probe.wait_for_leader(UNSENT_TIMEOUT_SHARE * timeout_s)

    async def _call(self, call: MessageStruct, timeout_s: float, trace: CallTrace) -> MessageStruct:
        """Calls control, and gives up early if no leader received the call.

        The client can then resend, which may reach a leader.
        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        try:
            return await self.control.call(call, UNSENT_TIMEOUT_SHARE * timeout_s, trace=trace)
        except ControlInDoubtError:
            raise
        except ControlUnavailableError as error:
            if not error.may_have_effect:
                raise
        # The job may have been accepted, which only a leader can tell, so the full timeout is used.
        remaining_s = deadline_s - loop.time()
        return await self.control.call(call, remaining_s, trace=trace, may_have_effect=True)

    async def _decode(self, request: Request) -> MessageStruct | None:
        target = QueueTarget(
            host=request.headers.get("host", "").partition(":")[0].lower(),
            path=request.url.path,
            credential_digest=_credential_digest(request.headers),
        )
        if request.method == "GET":
            return ReadGraph(target=target)
        if request.method == "DELETE":
            return CancelGraph(target=target)
        if request.method != "POST":
            return None
        job = decode_job(await read_body(request, self.body_limit_bytes))
        return SubmitGraph(target=target, spec=job.spec, steps=job.steps, repetition=job.repetition)

    def _unavailable(
        self,
        request: Request,
        error: ControlUnavailableError,
        trace: CallTrace,
        detail: str = "control did not reply in time",
    ) -> Response:
        """Returns 503 if the call had no effect and 504 if its effect is unknown."""
        is_in_doubt = request.method != "GET" and error.may_have_effect
        status = 504 if is_in_doubt else 503
        log.warning(
            "control unavailable",
            method=request.method,
            path=request.url.path,
            status=status,
            reason=str(error),
            **self._describe(trace),
        )
        return render_error(status, detail)


def _credential_digest(headers: Mapping[str, str]) -> bytes:
    value = headers.get("authorization", "")
    if not value.startswith(CREDENTIAL_SCHEME):
        return b""
    return digest_credential(value[len(CREDENTIAL_SCHEME) :].strip())


def _deadline_s(headers: Mapping[str, str]) -> float:
    """Returns how long the client waits for an answer."""
    try:
        return float(headers.get("deadline-ms", "")) / MS_PER_S
    except ValueError:
        return DEFAULT_DEADLINE_S


def _call_timeout_s(headers: Mapping[str, str]) -> float:
    return min(max(_deadline_s(headers), 0.0) * CALL_TIMEOUT_SHARE, MAX_CALL_TIMEOUT_S)
