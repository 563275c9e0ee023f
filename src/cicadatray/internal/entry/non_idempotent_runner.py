"""Execution of non-idempotent requests, each at most once."""

import asyncio

import structlog

from cicadatray.internal.entry.admission import (
    NO_ENDPOINT_CODE,
    NO_ENDPOINT_RETRY_AFTER_S,
    OVERLOADED_CODE,
)
from cicadatray.internal.entry.attempt_verdict import Verdict
from cicadatray.internal.entry.caller_request import CallerRequest
from cicadatray.internal.entry.endpoint_selector import EndpointChoice
from cicadatray.internal.entry.key_attempt import KeyAttempt
from cicadatray.internal.entry.key_record_client import KeyRecordClient
from cicadatray.internal.entry.request_outcome import (
    RequestOutcome,
    completed,
    not_run,
    outcome_unknown,
)
from cicadatray.internal.entry.request_resources import RequestResources
from cicadatray.internal.wire.control_client import ControlUnavailableError
from cicadatray.internal.wire.errors import WireError
from cicadatray.internal.wire.message import Failure, MessageStruct
from cicadatray.internal.wire.messages.attempt_messages import AttemptAnswer, AttemptRefused
from cicadatray.internal.wire.messages.key_messages import (
    KeyAbsent,
    KeyRecord,
    KeyState,
    StoredAnswer,
)

MAX_STORED_BODY_BYTES = 4096
CONTROL_RETRY_AFTER_S = 2.0
UNKNOWN_RETRY_AFTER_S = 1.0
# Each reassignment costs a commit. A request is refused when this many reassignments found no
# endpoint with a free slot.
MAX_REASSIGNMENTS = 3
KEY_REUSED_CODE = "key_reused"
KEY_LIMIT_CODE = "too_many_keys"
CONTROL_UNAVAILABLE_CODE = "control_unavailable"
DEADLINE_CODE = "deadline_exceeded"
ANSWER_LOST_CODE = "answer_lost"
AGENT_LOST_CODE = "agent_lost"

log = structlog.get_logger(__name__)


class NonIdempotentRunner:
    """The execution of the request with one key at this entry; it may outlive its callers."""

    __slots__ = ("choice", "key_client", "request", "resources", "retry_after_s", "tried_agents")

    def __init__(self, request: CallerRequest, resources: RequestResources) -> None:
        self.request = request
        self.resources = resources
        self.key_client = KeyRecordClient(request, resources.control)
        self.tried_agents: set[str] = set()
        self.choice: EndpointChoice | None = None
        self.retry_after_s = 0.0

    async def run(self) -> RequestOutcome:
        """Runs the request, or follows an earlier send of it, and returns the final outcome.

        The outcome is unknown if the key cannot be read, because an earlier send may have run.
        """
        try:
            record = await self.key_client.read()
            if isinstance(record, KeyAbsent):
                return await self._admit_and_run()
            if isinstance(record, KeyRecord) and record.state is KeyState.NOT_RUN:
                if record.digest != self.request.digest():
                    return self._key_reused_outcome()
                return await self._admit_and_run()
            return await self._follow(record)
        except ControlUnavailableError:
            return outcome_unknown(
                CONTROL_UNAVAILABLE_CODE,
                "the key cannot be checked now; resend with the same key",
                CONTROL_RETRY_AFTER_S,
            )
        finally:
            self._release_choice()

    async def _admit_and_run(self) -> RequestOutcome:
        """Waits for a permit, then claims the key, which was not assigned when it was read."""
        admission = self.resources.admission
        loop = asyncio.get_running_loop()
        key_read_s = loop.time()
        refusal = await admission.acquire(self.request)
        admitted_s = loop.time()
        if refusal is not None:
            status_code = 504 if refusal.code == DEADLINE_CODE else 503
            outcome = not_run(status_code, refusal.code, refusal.detail, refusal.retry_after_s)
            return outcome if admitted_s == key_read_s else await self._recheck_key(outcome)
        try:
            return await self._claim_and_run()
        finally:
            admission.release(self.request, loop.time() - admitted_s)

    async def _claim_and_run(self) -> RequestOutcome:
        if not self.request.is_open():
            detail = "not started before the deadline"
            outcome = not_run(504, DEADLINE_CODE, detail, NO_ENDPOINT_RETRY_AFTER_S)
            return await self._recheck_key(outcome)
        self.choice = self._choose()
        if self.choice is None:
            return await self._recheck_key(self._not_run_outcome())
        record = await self.key_client.claim(self.choice.peer)
        if isinstance(record, Failure) and record.code == KEY_LIMIT_CODE:
            return not_run(503, record.code, record.detail, record.retry_after_s)
        return await self._follow(record)

    async def _recheck_key(self, outcome: RequestOutcome) -> RequestOutcome:
        """Returns `outcome` unless another send claimed the key while this request waited.

        In that case it returns the outcome of the other send.
        """
        record = await self.key_client.read()
        if isinstance(record, KeyAbsent):
            return outcome
        if isinstance(record, KeyRecord) and record.state is KeyState.NOT_RUN:
            return outcome
        return await self._follow(record)

    async def _follow(self, record: MessageStruct) -> RequestOutcome:
        """Runs or joins attempts until the key's record has a final outcome, and returns it."""
        while isinstance(record, KeyRecord):
            if record.digest != self.request.digest():
                return self._key_reused_outcome()
            if record.state is not KeyState.ASSIGNED:
                return await self._recorded_outcome(record)
            result = await self._run_attempt(self._build_attempt(record))
            if isinstance(result, RequestOutcome):
                return result
            record = result
        if isinstance(record, Failure):
            return outcome_unknown(record.code, record.detail, UNKNOWN_RETRY_AFTER_S)
        return outcome_unknown(CONTROL_UNAVAILABLE_CODE, "the key cannot be checked now", 1.0)

    def _build_attempt(self, record: KeyRecord) -> KeyAttempt:
        choice = self.choice
        if choice is not None and choice.peer.record.agent_id != record.agent_id:
            self._release_choice()  # another entry has already assigned the key
            choice = None
        self.choice = None
        return KeyAttempt(self.request, self.resources, record, choice)

    async def _run_attempt(self, attempt: KeyAttempt) -> RequestOutcome | MessageStruct:
        """Runs or joins the attempt; returns the final outcome or the key's next record."""
        try:
            reply = await attempt.join()
            if reply is not None:
                return await self._process_reply(attempt, reply)
            if self.request.is_open():
                return await self.key_client.resolve(attempt.record, KeyState.UNKNOWN)
            if isinstance(await attempt.cancel(), AttemptRefused):
                return await self._resolve_cancelled(attempt)
        except BaseException:
            attempt.detach()
            raise
        # The key stays assigned, so a resend joins the attempt.
        task = asyncio.create_task(self._finish_in_background(attempt))
        self.resources.background.add(task)
        task.add_done_callback(self.resources.background.discard)
        detail = "the request may be running; resend with the same key"
        return outcome_unknown(DEADLINE_CODE, detail, UNKNOWN_RETRY_AFTER_S)

    async def _process_reply(
        self, attempt: KeyAttempt, reply: MessageStruct
    ) -> RequestOutcome | MessageStruct:
        if isinstance(reply, AttemptAnswer):
            return await self._resolve_completed(attempt.record, reply)
        if isinstance(reply, AttemptRefused):
            self.retry_after_s = max(self.retry_after_s, reply.retry_after_s)
            return await self._reassign(attempt.record)
        return await self.key_client.resolve(attempt.record, KeyState.UNKNOWN)

    async def _reassign(self, record: KeyRecord) -> RequestOutcome | MessageStruct:
        self.tried_agents.add(record.agent_id)
        may_reassign = len(self.tried_agents) <= MAX_REASSIGNMENTS and self.request.is_open()
        self.choice = self._choose() if may_reassign else None
        if self.choice is None:
            return await self.key_client.resolve(record, KeyState.NOT_RUN)
        return await self.key_client.reassign(record, self.choice.peer)

    async def _resolve_completed(
        self, record: KeyRecord, reply: AttemptAnswer
    ) -> RequestOutcome | MessageStruct:
        """Records the reply as the key's outcome, and returns it as such only if that succeeded."""
        stored_body = reply.body if len(reply.body) <= MAX_STORED_BODY_BYTES else None
        stored = StoredAnswer(reply.status_code, reply.content_type, stored_body)
        resolved = await self.key_client.resolve(record, KeyState.COMPLETED, stored)
        if not isinstance(resolved, KeyRecord) or resolved.state is not KeyState.COMPLETED:
            return resolved
        if resolved.claim_index != record.claim_index:
            return resolved
        return completed(reply.status_code, reply.content_type, reply.body)

    async def _resolve_cancelled(self, attempt: KeyAttempt) -> RequestOutcome | MessageStruct:
        attempt.detach()
        resolved = await self.key_client.resolve(attempt.record, KeyState.NOT_RUN)
        if isinstance(resolved, KeyRecord) and resolved.state is KeyState.NOT_RUN:
            detail = "not started before the deadline"
            return not_run(504, DEADLINE_CODE, detail, NO_ENDPOINT_RETRY_AFTER_S)
        return resolved

    async def _finish_in_background(self, attempt: KeyAttempt) -> None:
        """Records the outcome of an attempt that continues although no caller waits for it."""
        try:
            reply = await attempt.wait_for_end()
            if isinstance(reply, AttemptAnswer):
                await self._resolve_completed(attempt.record, reply)
            elif isinstance(reply, AttemptRefused):
                await self.key_client.resolve(attempt.record, KeyState.NOT_RUN)
            else:
                await self.key_client.resolve(attempt.record, KeyState.UNKNOWN)
        except ControlUnavailableError as error:
            log.warning(
                "outcome not recorded; a resend of the request will record it", reason=str(error)
            )
        finally:
            attempt.detach()

    async def _recorded_outcome(self, record: KeyRecord) -> RequestOutcome:
        if record.state is KeyState.NOT_RUN:
            return self._not_run_outcome()
        if record.state is KeyState.UNKNOWN:
            return outcome_unknown(AGENT_LOST_CODE, "the request may have run")
        answer = record.answer
        if answer is not None and answer.body is not None:
            return completed(answer.status_code, answer.content_type, answer.body)
        return await self._fetch_answer(record)

    async def _fetch_answer(self, record: KeyRecord) -> RequestOutcome:
        """Returns the outcome with the answer held by the agent, which is too large for the log."""
        attempt = KeyAttempt(self.request, self.resources, record, None)
        try:
            reply = await attempt.join()
        except WireError:
            reply = None
        finally:
            attempt.detach()
        if isinstance(reply, AttemptAnswer):
            return completed(reply.status_code, reply.content_type, reply.body)
        if reply is None and not self.request.is_open():
            detail = "the request completed, but its agent did not reply"
            return outcome_unknown(ANSWER_LOST_CODE, detail, UNKNOWN_RETRY_AFTER_S)
        return outcome_unknown(ANSWER_LOST_CODE, "the request completed, but its response is lost")

    def _choose(self) -> EndpointChoice | None:
        service = self.request.service
        return self.resources.selector.choose(service, self.tried_agents, non_idempotent=True)

    def _release_choice(self) -> None:
        """Releases an endpoint that was chosen but not used."""
        if self.choice is not None:
            self.resources.selector.record_verdict(self.choice, Verdict.NEUTRAL)
            self.choice = None

    def _key_reused_outcome(self) -> RequestOutcome:
        return not_run(
            422, KEY_REUSED_CODE, "this key has already been used for another request", 0.0
        )

    def _not_run_outcome(self) -> RequestOutcome:
        """Returns the outcome for a key with which, according to the log, no attempt has run."""
        retry_after_s = max(NO_ENDPOINT_RETRY_AFTER_S, self.retry_after_s)
        if self.retry_after_s:
            return not_run(503, OVERLOADED_CODE, "no endpoint had a free slot", retry_after_s)
        detail = "no endpoint of this service is reachable"
        return not_run(503, NO_ENDPOINT_CODE, detail, retry_after_s)
