"""Execution of idempotent requests, with retries on other endpoints."""

import asyncio
import secrets

from cicadatray.internal.entry.admission import NO_ENDPOINT_RETRY_AFTER_S, AdmissionRefusal
from cicadatray.internal.entry.agent_calls import cancel_attempt, start_attempt
from cicadatray.internal.entry.attempt_verdict import FIRST_SERVER_ERROR, Verdict, classify_reply
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
MIN_RETRY_AFTER_S = 0.1
# How long to wait for the reply of an attempt that ended just before its cancellation.
LATE_REPLY_S = 0.05
# A request that has found all endpoints full this often is refused, since the concurrency limit is
# too high.
MAX_ADMISSIONS = 3


class IdempotentRunner:
    """The execution of one request.

    `failed_agents` and `full_agents` are not tried again; `full_agents` is cleared between permits.
    """

    __slots__ = (
        "failed_agents",
        "full_agents",
        "last_answer",
        "may_have_run",
        "request",
        "resources",
        "retry_after_s",
        "retry_spends_budget",
    )

    def __init__(self, request: CallerRequest, resources: RequestResources) -> None:
        self.request = request
        self.resources = resources
        self.failed_agents: set[str] = set()
        self.full_agents: set[str] = set()
        self.last_answer: AttemptAnswer | None = None
        self.may_have_run = False
        self.retry_spends_budget = False
        self.retry_after_s: float | None = None

    async def run(self) -> RequestOutcome:
        """Runs the request and returns its final outcome, at the latest at the deadline."""
        admission = self.resources.admission
        loop = asyncio.get_running_loop()
        self.resources.retry_budget.record_request()
        for admission_count in range(MAX_ADMISSIONS):
            refusal = await admission.acquire(self.request, requeued=admission_count > 0)
            if refusal is not None:
                return self._refused_outcome(refusal)
            acquired_s = loop.time()
            try:
                outcome = await self._try_endpoints()
            finally:
                admission.release(self.request, loop.time() - acquired_s)
            if outcome is not None:
                return outcome
            pause_s = self.retry_after_s or MIN_RETRY_AFTER_S
            if pause_s >= self.request.remaining_s():
                break
            await self.request.pause(pause_s)
            self.full_agents.clear()
        return self._final_outcome()

    async def _try_endpoints(self) -> RequestOutcome | None:
        """Tries endpoints until one answers.

        Returns None if no endpoint is left to try and at least one had no free slot.
        """
        while self.request.is_open():
            tried_agents = self.failed_agents | self.full_agents
            choice = self.resources.selector.choose(self.request.service, tried_agents)
            if choice is None:
                return None if self.full_agents else self._final_outcome()
            if self.retry_spends_budget and not self._spend_retry():
                self.resources.selector.record_verdict(choice, Verdict.NEUTRAL)
                return self._final_outcome()
            reply = await self._attempt(choice)
            if isinstance(reply, AttemptAnswer) and reply.status_code < FIRST_SERVER_ERROR:
                return completed(reply.status_code, reply.content_type, reply.body)
        return self._deadline_outcome()

    def _spend_retry(self) -> bool:
        now_s = asyncio.get_running_loop().time()
        if not self.resources.retry_budget.try_spend(now_s):
            return False
        self.resources.metrics.record_retry(self.request.client_account)
        return True

    async def _attempt(self, choice: EndpointChoice) -> MessageStruct | None:
        """Sends the request to one endpoint and returns the reply, or None without one."""
        attempt_id = secrets.token_hex(ATTEMPT_ID_BYTES)
        call_task = start_attempt(self.request, choice.peer, attempt_id)
        verdict = Verdict.NEUTRAL
        # A retry spends budget only after an attempt that may have run and was not a probe: a probe
        # is the entry's own choice, and an attempt that did not run caused no load.
        self.retry_spends_budget = False
        try:
            if not await self.request.wait_for(call_task):
                cancelled = await self._cancel(choice, attempt_id)
                await asyncio.wait((call_task,), timeout=0.0 if cancelled else LATE_REPLY_S)
                if not call_task.done():
                    self.may_have_run |= not cancelled
                    return None
            reply = call_task.result()
            verdict = classify_reply(reply)
            self._process_reply(choice, reply)
            self.retry_spends_budget = not (choice.probe or isinstance(reply, AttemptRefused))
            return reply
        except WireError as error:
            verdict = Verdict.FAILURE
            self.failed_agents.add(choice.peer.record.agent_id)
            if not isinstance(error, PeerUnreachableError):
                self.may_have_run = True
                self.retry_spends_budget = not choice.probe
            return None
        finally:
            call_task.cancel()
            self.resources.selector.record_verdict(choice, verdict)

    async def _cancel(self, choice: EndpointChoice, attempt_id: str) -> bool:
        """Cancels an attempt and returns whether the agent confirmed that it will never start."""
        try:
            reply = await cancel_attempt(choice.peer, attempt_id)
        except WireError:
            return False
        return isinstance(reply, AttemptRefused)

    def _process_reply(self, choice: EndpointChoice, reply: MessageStruct) -> None:
        service = self.resources.admission.service(self.request.service)
        agent_id = choice.peer.record.agent_id
        if isinstance(reply, AttemptRefused) and reply.code == NO_SLOT_CODE:
            service.observe_refusal()
            self.full_agents.add(agent_id)
            advised_s = reply.retry_after_s
            self.retry_after_s = min(advised_s, self.retry_after_s or advised_s)
            return
        self.failed_agents.add(agent_id)
        if isinstance(reply, AttemptAnswer):
            service.observe_reply()
            if reply.status_code >= FIRST_SERVER_ERROR:
                self.last_answer = reply
        elif isinstance(reply, AttemptFailed):
            self.may_have_run = True

    def _refused_outcome(self, refusal: AdmissionRefusal) -> RequestOutcome:
        if self.may_have_run or self.last_answer is not None:
            return self._final_outcome()
        status_code = 504 if refusal.code == DEADLINE_CODE else 503
        return not_run(status_code, refusal.code, refusal.detail, refusal.retry_after_s)

    def _final_outcome(self) -> RequestOutcome:
        """Returns the outcome when no further attempt is possible or allowed."""
        if self.last_answer is not None:
            answer = self.last_answer
            return completed(answer.status_code, answer.content_type, answer.body)
        if self.may_have_run:
            detail = "no endpoint returned a complete response"
            return outcome_unknown(ENDPOINT_FAILED_CODE, detail, NO_ENDPOINT_RETRY_AFTER_S)
        if self.retry_after_s is not None:
            detail = "all slots are in use"
            return not_run(503, OVERLOADED_CODE, detail, self._retry_after_s())
        detail = "no endpoint of this service is reachable"
        return not_run(503, NO_ENDPOINT_CODE, detail, NO_ENDPOINT_RETRY_AFTER_S)

    def _deadline_outcome(self) -> RequestOutcome:
        if self.last_answer is not None:
            return self._final_outcome()
        if self.may_have_run:
            return outcome_unknown(DEADLINE_CODE, "no complete response before the deadline", 1.0)
        return not_run(504, DEADLINE_CODE, "not started before the deadline", self._retry_after_s())

    def _retry_after_s(self) -> float:
        return max(MIN_RETRY_AFTER_S, self.retry_after_s or NO_ENDPOINT_RETRY_AFTER_S)
