"""Runs idempotent requests, with retries on other endpoints."""

import asyncio
import secrets

from cicadatray.internal.entry.agent_peer import AgentPeer
from cicadatray.internal.entry.caller_request import CallerRequest
from cicadatray.internal.entry.endpoint_selector import EndpointSelector
from cicadatray.internal.entry.request_outcome import (
    RequestOutcome,
    completed,
    not_run,
    outcome_unknown,
)
from cicadatray.internal.wire.errors import PeerUnreachableError, WireError
from cicadatray.internal.wire.message import MessageStruct
from cicadatray.internal.wire.messages.attempt_messages import (
    AttemptAnswer,
    AttemptFailed,
    AttemptRefused,
    CancelAttempt,
    RunAttempt,
)

ATTEMPT_ID_BYTES = 12
FIRST_SERVER_ERROR = 500
NO_ENDPOINT_CODE = "no_endpoint"
OVERLOADED_CODE = "overloaded"
DEADLINE_CODE = "deadline_exceeded"
ENDPOINT_FAILED_CODE = "endpoint_failed"
NO_ENDPOINT_RETRY_AFTER_S = 1.0
CANCEL_TIMEOUT_S = 1.0


class IdempotentRunner:
    """One instance for each request."""

    __slots__ = ("last_answer", "may_have_run", "request", "retry_after_s", "selector", "tried")

    def __init__(self, request: CallerRequest, selector: EndpointSelector) -> None:
        self.request = request
        self.selector = selector
        self.tried: set[str] = set()
        self.last_answer: AttemptAnswer | None = None
        self.may_have_run = False
        self.retry_after_s: float | None = None

    async def run(self) -> RequestOutcome:
        """Returns the final outcome, at the latest at the deadline."""
        while self.request.remaining_s() > 0 and not self.request.abandoned.is_set():
            peer = self.selector.choose(self.request.service, self.tried)
            if peer is None:
                return self._give_up()
            self.tried.add(peer.record.agent_id)
            outcome = await self._attempt(peer)
            if outcome is not None:
                return outcome
        return self._deadline_outcome()

    async def _attempt(self, peer: AgentPeer) -> RequestOutcome | None:
        attempt_id = secrets.token_hex(ATTEMPT_ID_BYTES)
        call = RunAttempt(
            attempt_id=attempt_id,
            agent_incarnation=peer.record.incarnation,
            service=self.request.service,
            body=self.request.body,
            content_type=self.request.content_type,
            remaining_s=self.request.remaining_s(),
            trace_id=self.request.trace_id,
        )
        try:
            reply = await self._call_or_abandon(peer, call)
        except PeerUnreachableError:
            return None
        except WireError:
            self.may_have_run = True
            return None
        if reply is None:
            await self._cancel(peer, attempt_id)
            return self._deadline_outcome()
        return self._judge(reply)

    async def _call_or_abandon(self, peer: AgentPeer, call: RunAttempt) -> MessageStruct | None:
        """Returns None when the deadline passed or no caller waits any more."""
        sending = asyncio.create_task(peer.call(call, self.request.remaining_s() + 1.0))
        abandoning = asyncio.create_task(self.request.abandoned.wait())
        try:
            await asyncio.wait(
                (sending, abandoning),
                timeout=max(0.0, self.request.remaining_s()),
                return_when=asyncio.FIRST_COMPLETED,
            )
            return await sending if sending.done() else None
        finally:
            sending.cancel()
            abandoning.cancel()

    async def _cancel(self, peer: AgentPeer, attempt_id: str) -> None:
        call = CancelAttempt(attempt_id=attempt_id, agent_incarnation=peer.record.incarnation)
        try:
            reply = await peer.call(call, CANCEL_TIMEOUT_S)
        except WireError:
            self.may_have_run = True
            return
        if not isinstance(reply, AttemptRefused):
            self.may_have_run = True

    def _judge(self, reply: MessageStruct) -> RequestOutcome | None:
        if isinstance(reply, AttemptAnswer):
            if reply.status_code < FIRST_SERVER_ERROR:
                return completed(reply.status_code, reply.content_type, reply.body)
            self.last_answer = reply
        elif isinstance(reply, AttemptRefused):
            known = self.retry_after_s
            told = reply.retry_after_s
            self.retry_after_s = told if known is None else min(known, told)
        elif isinstance(reply, AttemptFailed):
            self.may_have_run = True
        return None

    def _give_up(self) -> RequestOutcome:
        """Every endpoint was tried, or there is none."""
        if self.last_answer is not None:
            answer = self.last_answer
            return completed(answer.status_code, answer.content_type, answer.body)
        if self.may_have_run:
            return outcome_unknown(ENDPOINT_FAILED_CODE, "no endpoint gave a whole answer")
        if self.retry_after_s is not None:
            detail = "all slots are taken"
            return not_run(503, OVERLOADED_CODE, detail, max(0.1, self.retry_after_s))
        detail = "no endpoint of this service is reachable"
        return not_run(503, NO_ENDPOINT_CODE, detail, NO_ENDPOINT_RETRY_AFTER_S)

    def _deadline_outcome(self) -> RequestOutcome:
        if self.may_have_run or self.last_answer is not None:
            return outcome_unknown(DEADLINE_CODE, "no whole answer before the deadline")
        return not_run(504, DEADLINE_CODE, "not started before the deadline", self._retry_after_s())

    def _retry_after_s(self) -> float:
        return max(0.1, self.retry_after_s or NO_ENDPOINT_RETRY_AFTER_S)
