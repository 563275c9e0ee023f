"""Runs attempts at the endpoint, each at most once."""

import asyncio

import structlog

from cicadatray.internal.agent.attempt_entry import AttemptEntry, AttemptPhase
from cicadatray.internal.agent.attempt_ledger import AttemptLedger
from cicadatray.internal.agent.endpoint_client import EndpointClient
from cicadatray.internal.agent.errors import EndpointFailedError, EndpointUnreachableError
from cicadatray.internal.agent.slot_limiter import SlotLimiter
from cicadatray.internal.settings.agent_settings import AgentSettings, EndpointSettings
from cicadatray.internal.wire.message import MessageStruct
from cicadatray.internal.wire.messages.attempt_messages import (
    AttemptAnswer,
    AttemptFailed,
    AttemptRefused,
    CancelAttempt,
    RunAttempt,
)

NO_SLOT_CODE = "no_slot"
DRAINING_CODE = "draining"
CANCELLED_CODE = "cancelled"
DEADLINE_CODE = "deadline_exceeded"
ENDPOINT_UNREACHABLE_CODE = "endpoint_unreachable"
ENDPOINT_FAILED_CODE = "endpoint_failed"
OTHER_INCARNATION_CODE = "agent_restarted"
FORGOTTEN_CODE = "attempt_forgotten"
STOPPED_CODE = "agent_stopped"
INTERNAL_ERROR_CODE = "internal_error"
DRAIN_RETRY_AFTER_S = 0.5
TRACE_HEADER = "Trace-Id"

log = structlog.get_logger(__name__)


class AttemptRunner:
    """Runs each attempt in an asyncio task; entries that call the same one share its reply."""

    __slots__ = ("endpoint", "incarnation", "ledger", "limiter")

    def __init__(
        self, settings: AgentSettings, endpoint: EndpointSettings, incarnation: str
    ) -> None:
        self.incarnation = incarnation
        self.endpoint = EndpointClient(endpoint)
        self.limiter = SlotLimiter(endpoint.slots)
        self.ledger = AttemptLedger(settings.result_memory_bytes, settings.result_retention_s)

    async def run(self, call: RunAttempt) -> MessageStruct:
        """Returns the reply of the attempt, starting it if it is new."""
        if call.agent_incarnation != self.incarnation:
            return self._failed(OTHER_INCARNATION_CODE, "the agent was restarted")
        entry = self.ledger.find(call.attempt_id)
        if entry is None:
            if self.ledger.is_forgotten(call.claim_index):
                return self._failed(FORGOTTEN_CODE, "the attempt may have run long ago")
            entry = self.ledger.add(call.attempt_id, call.claim_index)
            if not self.limiter.has_capacity():
                self._refuse(call.attempt_id, entry, self._capacity_refusal())
            else:
                slot = entry.slot = self.limiter.acquire()
                entry.task = asyncio.create_task(self._execute(call, entry, slot))
        return await asyncio.shield(entry.reply)

    def cancel(self, call: CancelAttempt) -> MessageStruct:
        """Refuses an attempt that has not started; one that has started continues.

        An attempt that is not in the ledger is refused only if it certainly has not run: ended
        idempotent attempts and evicted claims are not in the ledger either.
        """
        if call.agent_incarnation != self.incarnation:
            return self._failed(OTHER_INCARNATION_CODE, "the agent was restarted")
        entry = self.ledger.find(call.attempt_id)
        if entry is None:
            if call.claim_index == 0 or self.ledger.is_forgotten(call.claim_index):
                return self._failed(FORGOTTEN_CODE, "the attempt may have run")
            entry = self.ledger.add(call.attempt_id, call.claim_index)
        if entry.phase is AttemptPhase.QUEUED:
            self._refuse(call.attempt_id, entry, self._refused(CANCELLED_CODE, "cancelled", 0.0))
        if entry.phase is AttemptPhase.REFUSED:
            return self._refused(CANCELLED_CODE, "cancelled before it was started", 0.0)
        return self._failed(CANCELLED_CODE, "the attempt had been started")

    async def finish(self) -> None:
        """Refuses new attempts and waits for those in progress."""
        self.limiter.draining = True
        while unfinished := self.ledger.unfinished():
            await asyncio.wait([entry.reply for entry in unfinished])

    def abandon(self) -> None:
        """Answers all attempts in progress: queued ones as refused, started ones as failed."""
        for attempt_id, entry in list(self.ledger.in_progress.items()):
            if entry.reply.done():
                continue
            if entry.phase is AttemptPhase.QUEUED:
                reply: MessageStruct = self._refused(
                    STOPPED_CODE, "the agent is stopping", DRAIN_RETRY_AFTER_S
                )
                self._refuse(attempt_id, entry, reply)
            else:
                entry.reply.set_result(self._failed(STOPPED_CODE, "the agent stopped"))

    async def _execute(
        self, call: RunAttempt, entry: AttemptEntry, slot: asyncio.Future[None]
    ) -> None:
        loop = asyncio.get_running_loop()
        await asyncio.wait((slot,), timeout=call.remaining_s)
        if not slot.done():
            reply = self._refused(DEADLINE_CODE, "no slot in time", self.limiter.retry_after_s())
            self._refuse(call.attempt_id, entry, reply)
            return
        started_s = loop.time()
        try:
            entry.phase = AttemptPhase.STARTED
            reply_message = await self._send(call, entry)
        finally:
            self.limiter.release(loop.time() - started_s)
        size_bytes = len(reply_message.body) if isinstance(reply_message, AttemptAnswer) else 0
        self._set_final_reply(call.attempt_id, entry, reply_message, size_bytes)

    async def _send(self, call: RunAttempt, entry: AttemptEntry) -> MessageStruct:
        try:
            answer = await self.endpoint.send(
                call.body, call.content_type, {TRACE_HEADER: call.trace_id}
            )
        except EndpointUnreachableError as error:
            entry.phase = AttemptPhase.REFUSED
            return self._refused(ENDPOINT_UNREACHABLE_CODE, str(error), DRAIN_RETRY_AFTER_S)
        except EndpointFailedError as error:
            log.warning("endpoint failed", attempt_id=call.attempt_id, reason=str(error))
            return self._failed(ENDPOINT_FAILED_CODE, str(error))
        except Exception as error:
            # Without a reply, the entry and a drain would wait for this attempt for ever.
            log.exception("attempt failed", attempt_id=call.attempt_id)
            return self._failed(INTERNAL_ERROR_CODE, type(error).__name__)
        return AttemptAnswer(
            status_code=answer.status_code,
            content_type=answer.content_type,
            body=answer.body,
            load=self.limiter.load(),
        )

    def _capacity_refusal(self) -> AttemptRefused:
        if self.limiter.draining:
            return self._refused(DRAINING_CODE, "the agent is draining", DRAIN_RETRY_AFTER_S)
        return self._refused(NO_SLOT_CODE, "all slots are taken", self.limiter.retry_after_s())

    def _refuse(self, attempt_id: str, entry: AttemptEntry, reply: MessageStruct) -> None:
        entry.phase = AttemptPhase.REFUSED
        if entry.slot is not None:
            self.limiter.cancel_acquire(entry.slot)
        if entry.task is not None and entry.task is not asyncio.current_task():
            entry.task.cancel()
        self._set_final_reply(attempt_id, entry, reply, 0)

    def _set_final_reply(
        self, attempt_id: str, entry: AttemptEntry, reply: MessageStruct, size_bytes: int
    ) -> None:
        if not entry.reply.done():
            entry.reply.set_result(reply)
        self.ledger.end(attempt_id, entry, size_bytes, asyncio.get_running_loop().time())

    def _refused(self, code: str, detail: str, retry_after_s: float) -> AttemptRefused:
        return AttemptRefused(
            code=code, detail=detail, retry_after_s=retry_after_s, load=self.limiter.load()
        )

    def _failed(self, code: str, detail: str) -> AttemptFailed:
        return AttemptFailed(code=code, detail=detail, load=self.limiter.load())
