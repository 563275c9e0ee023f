"""Runs idempotent requests, with retries on other endpoints."""

import asyncio
import secrets

from cicadatray.internal.entry.admission import NO_ENDPOINT_RETRY_AFTER_S, AdmissionRefusal
from cicadatray.internal.entry.agent_calls import cancel_attempt, start_attempt
from cicadatray.internal.entry.attempt_verdict import FIRST_SERVER_ERROR, Verdict, judge_reply
from cicadatray.internal.entry.caller_request import CallerRequest
from cicadatray.internal.entry.endpoint_selector import EndpointChoice
from cicadatray.internal.entry.request_outcome import (
    RequestOutcome,
    completed,
    not_run,
    outcome_unknown,
)
from cicadatray.internal.entry.request_resources import RequestResources
from cicadatray.internal.wire.errors import PeerUnreachableError, WireError
from cicadatray.internal.wire.message import MessageStruct
from cicadatray.internal.wire.messages.attempt_messages import (
    AttemptAnswer,
    AttemptFailed,
    AttemptRefused,
)

ATTEMPT_ID_BYTES = 12
NO_ENDPOINT_CODE = "no_endpoint"
NO_SLOT_CODE = "no_slot"
OVERLOADED_CODE = "overloaded"
DEADLINE_CODE = "deadline_exceeded"
ENDPOINT_FAILED_CODE = "endpoint_failed"
RETRY_AFTER_FLOOR_S = 0.1
# The reply of an attempt that ended just before its cancellation is on its way for this long.
LATE_REPLY_S = 0.05
# A request that found every endpoint full this often is turned away; the queue is too optimistic.
TURN_LIMIT = 3


class IdempotentRunner:
    """One instance for each request."""

    __slots__ = (
        "failed",
        "last_answer",
        "may_have_run",
        "refused",
        "request",
        "resources",
        "retry_after_s",
        "retry_costs",
    )

    def __init__(self, request: CallerRequest, resources: RequestResources) -> None:
        self.request = request
        self.resources = resources
        self.failed: set[str] = set()
        self.refused: set[str] = set()
        self.last_answer: AttemptAnswer | None = None
        self.may_have_run = False
        self.retry_costs = False
        self.retry_after_s: float | None = None

    async def run(self) -> RequestOutcome:
        """Returns the final outcome, at the latest at the deadline."""
        admission = self.resources.admission
        loop = asyncio.get_running_loop()
        self.resources.retry_budget.record_request()
        for turn in range(TURN_LIMIT):
            refusal = await admission.enter(self.request, again=turn > 0)
            if refusal is not None:
                return self._refused_outcome(refusal)
            entered_s = loop.time()
            try:
                outcome = await self._use_turn()
            finally:
                admission.leave(self.request, loop.time() - entered_s)
            if outcome is not None:
                return outcome
            pause_s = self.retry_after_s or RETRY_AFTER_FLOOR_S
            if pause_s >= self.request.remaining_s():
                break
            await self.request.pause(pause_s)
            self.refused.clear()
        return self._give_up()

    async def _use_turn(self) -> RequestOutcome | None:
        """Tries endpoints; returns None when only refusals for lack of slots are left."""
        while self.request.is_open():
            tried = self.failed | self.refused
            choice = self.resources.selector.choose(self.request.service, tried)
            if choice is None:
                return None if self.refused else self._give_up()
            if self.retry_costs and not self._take_retry():
                self.resources.selector.report(choice, Verdict.NEUTRAL)
                return self._give_up()
            reply = await self._attempt(choice)
            if isinstance(reply, AttemptAnswer) and reply.status_code < FIRST_SERVER_ERROR:
                return completed(reply.status_code, reply.content_type, reply.body)
        return self._deadline_outcome()

    def _take_retry(self) -> bool:
        now_s = asyncio.get_running_loop().time()
        if not self.resources.retry_budget.try_spend(now_s):
            return False
        self.resources.metrics.record_retry(self.request.client_account)
        return True

    async def _attempt(self, choice: EndpointChoice) -> MessageStruct | None:
        """Sends to one endpoint; returns None when no reply came."""
        attempt_id = secrets.token_hex(ATTEMPT_ID_BYTES)
        sending = start_attempt(self.request, choice.peer, attempt_id)
        verdict = Verdict.NEUTRAL
        # A probe is at the entry's own risk, and an attempt that was not run made no load.
        self.retry_costs = False
        try:
            if not await self.request.wait_for(sending):
                prevented = await self._cancel(choice, attempt_id)
                await asyncio.wait((sending,), timeout=0.0 if prevented else LATE_REPLY_S)
                if not sending.done():
                    self.may_have_run |= not prevented
                    return None
            reply = sending.result()
            verdict = judge_reply(reply)
            self._take_reply(choice, reply)
            self.retry_costs = not (choice.probe or isinstance(reply, AttemptRefused))
            return reply
        except WireError as error:
            verdict = Verdict.FAILURE
            self.failed.add(choice.peer.record.agent_id)
            if not isinstance(error, PeerUnreachableError):
                self.may_have_run = True
                self.retry_costs = not choice.probe
            return None
        finally:
            sending.cancel()
            self.resources.selector.report(choice, verdict)

    async def _cancel(self, choice: EndpointChoice, attempt_id: str) -> bool:
        """Tells whether the agent confirmed that the attempt will never start."""
        try:
            reply = await cancel_attempt(choice.peer, attempt_id)
        except WireError:
            return False
        return isinstance(reply, AttemptRefused)

    def _take_reply(self, choice: EndpointChoice, reply: MessageStruct) -> None:
        service = self.resources.admission.service(self.request.service)
        agent_id = choice.peer.record.agent_id
        if isinstance(reply, AttemptRefused) and reply.code == NO_SLOT_CODE:
            service.observe_refusal()
            self.refused.add(agent_id)
            told = reply.retry_after_s
            self.retry_after_s = min(told, self.retry_after_s or told)
            return
        self.failed.add(agent_id)
        if isinstance(reply, AttemptAnswer):
            service.observe_reply()
            if reply.status_code >= FIRST_SERVER_ERROR:
                self.last_answer = reply
        elif isinstance(reply, AttemptFailed):
            self.may_have_run = True

    def _refused_outcome(self, refusal: AdmissionRefusal) -> RequestOutcome:
        if self.may_have_run or self.last_answer is not None:
            return self._give_up()
        status_code = 504 if refusal.code == DEADLINE_CODE else 503
        return not_run(status_code, refusal.code, refusal.detail, refusal.retry_after_s)

    def _give_up(self) -> RequestOutcome:
        """Every endpoint was tried, there is none, or no retry is allowed."""
        if self.last_answer is not None:
            answer = self.last_answer
            return completed(answer.status_code, answer.content_type, answer.body)
        if self.may_have_run:
            detail = "no endpoint gave a whole answer"
            return outcome_unknown(ENDPOINT_FAILED_CODE, detail, NO_ENDPOINT_RETRY_AFTER_S)
        if self.retry_after_s is not None:
            detail = "all slots are taken"
            return not_run(503, OVERLOADED_CODE, detail, self._retry_after_s())
        detail = "no endpoint of this service is reachable"
        return not_run(503, NO_ENDPOINT_CODE, detail, NO_ENDPOINT_RETRY_AFTER_S)

    def _deadline_outcome(self) -> RequestOutcome:
        if self.last_answer is not None:
            return self._give_up()
        if self.may_have_run:
            return outcome_unknown(DEADLINE_CODE, "no whole answer before the deadline", 1.0)
        return not_run(504, DEADLINE_CODE, "not started before the deadline", self._retry_after_s())

    def _retry_after_s(self) -> float:
        return max(RETRY_AFTER_FLOOR_S, self.retry_after_s or NO_ENDPOINT_RETRY_AFTER_S)
