"""Runs non-idempotent requests, each at most once."""

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
from cicadatray.internal.entry.key_log import KeyLog
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

STORED_BODY_LIMIT_BYTES = 4096
CONTROL_RETRY_AFTER_S = 2.0
UNKNOWN_RETRY_AFTER_S = 1.0
# Each reassignment costs a commit; a request that finds three endpoints full is turned away.
REASSIGN_LIMIT = 3
KEY_REUSED_CODE = "key_reused"
KEY_LIMIT_CODE = "too_many_keys"
CONTROL_UNAVAILABLE_CODE = "control_unavailable"
DEADLINE_CODE = "deadline_exceeded"
ANSWER_LOST_CODE = "answer_lost"
AGENT_LOST_CODE = "agent_lost"

log = structlog.get_logger(__name__)


class NonIdempotentRunner:
    """One instance for each key in progress at this entry; it survives its callers."""

    __slots__ = ("choice", "key", "request", "resources", "retry_after_s", "tried")

    def __init__(self, request: CallerRequest, resources: RequestResources) -> None:
        self.request = request
        self.resources = resources
        self.key = KeyLog(request, resources.control)
        self.tried: set[str] = set()
        self.choice: EndpointChoice | None = None
        self.retry_after_s = 0.0

    async def run(self) -> RequestOutcome:
        """Returns the final outcome.

        A key that cannot be checked is answered as unknown, because an earlier request with it may
        have run.
        """
        try:
            record = await self.key.read()
            if isinstance(record, KeyAbsent):
                return await self._admit_and_run()
            if isinstance(record, KeyRecord) and record.state is KeyState.NOT_RUN:
                if record.digest != self.request.digest():
                    return self._key_reused()
                return await self._admit_and_run()
            return await self._follow(record)
        except ControlUnavailableError:
            return outcome_unknown(
                CONTROL_UNAVAILABLE_CODE,
                "the key cannot be checked now; come back with the same key",
                CONTROL_RETRY_AFTER_S,
            )
        finally:
            self._release()

    async def _admit_and_run(self) -> RequestOutcome:
        """Waits for a turn, then claims the key, which was not in use when it was read."""
        admission = self.resources.admission
        loop = asyncio.get_running_loop()
        read_s = loop.time()
        refusal = await admission.enter(self.request)
        entered_s = loop.time()
        if refusal is not None:
            status_code = 504 if refusal.code == DEADLINE_CODE else 503
            outcome = not_run(status_code, refusal.code, refusal.detail, refusal.retry_after_s)
            return outcome if entered_s == read_s else await self._unless_claimed(outcome)
        try:
            return await self._claim_and_run()
        finally:
            admission.leave(self.request, loop.time() - entered_s)

    async def _claim_and_run(self) -> RequestOutcome:
        if not self.request.is_open():
            detail = "not started before the deadline"
            outcome = not_run(504, DEADLINE_CODE, detail, NO_ENDPOINT_RETRY_AFTER_S)
            return await self._unless_claimed(outcome)
        self.choice = self._choose()
        if self.choice is None:
            return await self._unless_claimed(self._not_run())
        record = await self.key.claim(self.choice.peer)
        if isinstance(record, Failure) and record.code == KEY_LIMIT_CODE:
            return not_run(503, record.code, record.detail, record.retry_after_s)
        return await self._follow(record)

    async def _unless_claimed(self, outcome: RequestOutcome) -> RequestOutcome:
        """Reads the key again: while this request waited, another send may have claimed it."""
        record = await self.key.read()
        if isinstance(record, KeyAbsent):
            return outcome
        if isinstance(record, KeyRecord) and record.state is KeyState.NOT_RUN:
            return outcome
        return await self._follow(record)

    async def _follow(self, record: MessageStruct) -> RequestOutcome:
        """Follows a key's records to a final outcome."""
        while isinstance(record, KeyRecord):
            if record.digest != self.request.digest():
                return self._key_reused()
            if record.state is not KeyState.ASSIGNED:
                return await self._recorded_outcome(record)
            following = await self._run_attempt(self._attempt(record))
            if isinstance(following, RequestOutcome):
                return following
            record = following
        if isinstance(record, Failure):
            return outcome_unknown(record.code, record.detail, UNKNOWN_RETRY_AFTER_S)
        return outcome_unknown(CONTROL_UNAVAILABLE_CODE, "the key cannot be checked now", 1.0)

    def _attempt(self, record: KeyRecord) -> KeyAttempt:
        choice = self.choice
        if choice is not None and choice.peer.record.agent_id != record.agent_id:
            self._release()  # another entry has assigned the key before
            choice = None
        self.choice = None
        return KeyAttempt(self.request, self.resources, record, choice)

    async def _run_attempt(self, attempt: KeyAttempt) -> RequestOutcome | MessageStruct:
        """Runs or joins the attempt in effect; returns the outcome or the key's next record."""
        try:
            reply = await attempt.join()
            if reply is not None:
                return await self._take_reply(attempt, reply)
            if self.request.is_open():
                return await self.key.resolve(attempt.record, KeyState.UNKNOWN)
            if isinstance(await attempt.cancel(), AttemptRefused):
                return await self._resolve_cancelled(attempt)
        except BaseException:
            attempt.drop()
            raise
        # The record stays assigned, so a resend joins the attempt.
        task = asyncio.create_task(self._finish_in_background(attempt))
        self.resources.background.add(task)
        task.add_done_callback(self.resources.background.discard)
        detail = "the request may be running; come back with the same key"
        return outcome_unknown(DEADLINE_CODE, detail, UNKNOWN_RETRY_AFTER_S)

    async def _take_reply(
        self, attempt: KeyAttempt, reply: MessageStruct
    ) -> RequestOutcome | MessageStruct:
        if isinstance(reply, AttemptAnswer):
            return await self._resolve_completed(attempt.record, reply)
        if isinstance(reply, AttemptRefused):
            self.retry_after_s = max(self.retry_after_s, reply.retry_after_s)
            return await self._reassign(attempt.record)
        return await self.key.resolve(attempt.record, KeyState.UNKNOWN)

    async def _reassign(self, record: KeyRecord) -> RequestOutcome | MessageStruct:
        self.tried.add(record.agent_id)
        may_reassign = len(self.tried) <= REASSIGN_LIMIT and self.request.is_open()
        self.choice = self._choose() if may_reassign else None
        if self.choice is None:
            return await self.key.resolve(record, KeyState.NOT_RUN)
        return await self.key.reassign(record, self.choice.peer)

    async def _resolve_completed(
        self, record: KeyRecord, reply: AttemptAnswer
    ) -> RequestOutcome | MessageStruct:
        """Answers with the reply only once it is recorded as the key's outcome."""
        kept = reply.body if len(reply.body) <= STORED_BODY_LIMIT_BYTES else None
        stored = StoredAnswer(reply.status_code, reply.content_type, kept)
        resolved = await self.key.resolve(record, KeyState.COMPLETED, stored)
        if not isinstance(resolved, KeyRecord) or resolved.state is not KeyState.COMPLETED:
            return resolved
        if resolved.claim_index != record.claim_index:
            return resolved
        return completed(reply.status_code, reply.content_type, reply.body)

    async def _resolve_cancelled(self, attempt: KeyAttempt) -> RequestOutcome | MessageStruct:
        attempt.drop()
        resolved = await self.key.resolve(attempt.record, KeyState.NOT_RUN)
        if isinstance(resolved, KeyRecord) and resolved.state is KeyState.NOT_RUN:
            detail = "not started before the deadline"
            return not_run(504, DEADLINE_CODE, detail, NO_ENDPOINT_RETRY_AFTER_S)
        return resolved

    async def _finish_in_background(self, attempt: KeyAttempt) -> None:
        """Records the outcome of an attempt that goes on although no caller waits."""
        try:
            reply = await attempt.finish()
            if isinstance(reply, AttemptAnswer):
                await self._resolve_completed(attempt.record, reply)
            elif isinstance(reply, AttemptRefused):
                await self.key.resolve(attempt.record, KeyState.NOT_RUN)
            else:
                await self.key.resolve(attempt.record, KeyState.UNKNOWN)
        except ControlUnavailableError as error:
            log.warning("outcome not recorded, a resend will do it", reason=str(error))
        finally:
            attempt.drop()

    async def _recorded_outcome(self, record: KeyRecord) -> RequestOutcome:
        if record.state is KeyState.NOT_RUN:
            return self._not_run()
        if record.state is KeyState.UNKNOWN:
            return outcome_unknown(AGENT_LOST_CODE, "the request may have run")
        answer = record.answer
        if answer is not None and answer.body is not None:
            return completed(answer.status_code, answer.content_type, answer.body)
        return await self._fetch_answer(record)

    async def _fetch_answer(self, record: KeyRecord) -> RequestOutcome:
        """Gets an answer that only its agent holds."""
        attempt = KeyAttempt(self.request, self.resources, record, None)
        try:
            reply = await attempt.join()
        except WireError:
            reply = None
        finally:
            attempt.drop()
        if isinstance(reply, AttemptAnswer):
            return completed(reply.status_code, reply.content_type, reply.body)
        if reply is None and not self.request.is_open():
            detail = "the request completed, and its agent does not answer now"
            return outcome_unknown(ANSWER_LOST_CODE, detail, UNKNOWN_RETRY_AFTER_S)
        return outcome_unknown(ANSWER_LOST_CODE, "the request completed, but its answer is lost")

    def _choose(self) -> EndpointChoice | None:
        service = self.request.service
        return self.resources.selector.choose(service, self.tried, non_idempotent=True)

    def _release(self) -> None:
        """Gives back an endpoint that was chosen and not used."""
        if self.choice is not None:
            self.resources.selector.report(self.choice, Verdict.NEUTRAL)
            self.choice = None

    def _key_reused(self) -> RequestOutcome:
        return not_run(422, KEY_REUSED_CODE, "this key was used for another request", 0.0)

    def _not_run(self) -> RequestOutcome:
        """The log was read or resolved: no attempt with this key has run."""
        retry_after_s = max(NO_ENDPOINT_RETRY_AFTER_S, self.retry_after_s)
        if self.retry_after_s:
            return not_run(503, OVERLOADED_CODE, "no endpoint had a free slot", retry_after_s)
        detail = "no endpoint of this service is reachable"
        return not_run(503, NO_ENDPOINT_CODE, detail, retry_after_s)
