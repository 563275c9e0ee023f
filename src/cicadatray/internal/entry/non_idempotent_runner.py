"""Runs non-idempotent requests, each at most once."""

import asyncio

from cicadatray.internal.entry.agent_peer import AgentPeer
from cicadatray.internal.entry.caller_request import CallerRequest
from cicadatray.internal.entry.directory_cache import DirectoryCache
from cicadatray.internal.entry.endpoint_selector import EndpointSelector
from cicadatray.internal.entry.request_outcome import (
    RequestOutcome,
    completed,
    not_run,
    outcome_unknown,
)
from cicadatray.internal.wire.control_client import ControlClient, ControlUnavailableError
from cicadatray.internal.wire.errors import WireError
from cicadatray.internal.wire.message import Failure, MessageStruct
from cicadatray.internal.wire.messages.attempt_messages import (
    AttemptAnswer,
    AttemptRefused,
    CancelAttempt,
    RunAttempt,
)
from cicadatray.internal.wire.messages.key_messages import (
    ClaimKey,
    KeyRecord,
    KeyState,
    ReadKey,
    ReassignKey,
    ResolveKey,
    StoredAnswer,
)

STORED_BODY_LIMIT_BYTES = 4096
CONTROL_TIMEOUT_S = 4.0
CANCEL_TIMEOUT_S = 1.0
RECONNECT_PAUSE_S = 0.1
CONTROL_RETRY_AFTER_S = 2.0
NO_ENDPOINT_RETRY_AFTER_S = 1.0
KEY_REUSED_CODE = "key_reused"
CONTROL_UNAVAILABLE_CODE = "control_unavailable"
NO_ENDPOINT_CODE = "no_endpoint"
OVERLOADED_CODE = "overloaded"
DEADLINE_CODE = "deadline_exceeded"
ANSWER_LOST_CODE = "answer_lost"
AGENT_LOST_CODE = "agent_lost"


class NonIdempotentRunner:
    """One instance for each key in progress at this entry; it survives its callers."""

    __slots__ = ("control", "directory", "request", "retry_after_s", "selector", "tried")

    def __init__(
        self,
        request: CallerRequest,
        selector: EndpointSelector,
        directory: DirectoryCache,
        control: ControlClient,
    ) -> None:
        self.request = request
        self.selector = selector
        self.directory = directory
        self.control = control
        self.tried: set[str] = set()
        self.retry_after_s = 0.0

    async def run(self) -> RequestOutcome:
        """Returns the final outcome.

        A key that cannot be checked is answered as unknown, because an earlier request with it may
        have run.
        """
        try:
            return await self._run()
        except ControlUnavailableError:
            return outcome_unknown(
                CONTROL_UNAVAILABLE_CODE,
                "the key cannot be checked now; come back with the same key",
                CONTROL_RETRY_AFTER_S,
            )

    async def _run(self) -> RequestOutcome:
        record = await self._read_or_claim()
        while isinstance(record, KeyRecord):
            if record.digest != self.request.digest():
                detail = "this key was used for another request"
                return not_run(422, KEY_REUSED_CODE, detail, 0.0)
            if record.state is KeyState.COMPLETED and record.answer is not None:
                return await self._stored_answer(record, record.answer)
            if record.state is KeyState.UNKNOWN:
                return outcome_unknown(AGENT_LOST_CODE, "the request may have run")
            if record.state is KeyState.NOT_RUN:
                return self._not_run(OVERLOADED_CODE, "no endpoint accepted the request")
            following = await self._run_attempt(record)
            if isinstance(following, RequestOutcome):
                return following
            record = following
        if isinstance(record, Failure):
            return outcome_unknown(record.code, record.detail, record.retry_after_s)
        detail = "no endpoint of this service is reachable"
        return self._not_run(NO_ENDPOINT_CODE, detail)

    async def _read_or_claim(self) -> MessageStruct | None:
        """Returns the key's record, a failure, or None when no endpoint can be assigned."""
        read = ReadKey(client_account=self.request.client_account, key=self.request.key)
        record = await self._ask_control(read)
        if isinstance(record, KeyRecord) and record.state is not KeyState.NOT_RUN:
            return record
        if isinstance(record, Failure):
            return record
        peer = self.selector.choose(self.request.service, self.tried)
        if peer is None:
            return None
        return await self._ask_control(
            ClaimKey(
                client_account=self.request.client_account,
                key=self.request.key,
                digest=self.request.digest(),
                agent_id=peer.record.agent_id,
                agent_incarnation=peer.record.incarnation,
            )
        )

    async def _run_attempt(self, record: KeyRecord) -> RequestOutcome | MessageStruct:
        """Runs or joins the attempt in effect; returns the outcome or the key's next record."""
        while self.request.remaining_s() > 0 and not self.request.abandoned.is_set():
            peer = self.directory.find(record.agent_id, record.agent_incarnation)
            if peer is None:
                if await self.directory.is_gone(record.agent_id, record.agent_incarnation):
                    return await self._resolve(record, KeyState.UNKNOWN, None)
                await asyncio.sleep(RECONNECT_PAUSE_S)
                continue
            try:
                reply = await self._call_or_abandon(peer, record)
            except WireError:
                await asyncio.sleep(RECONNECT_PAUSE_S)
                continue
            if reply is not None:
                return await self._judge(record, reply)
        return await self._cancel(record)

    async def _judge(
        self, record: KeyRecord, reply: MessageStruct
    ) -> RequestOutcome | MessageStruct:
        if isinstance(reply, AttemptAnswer):
            return await self._resolve_completed(record, reply)
        if isinstance(reply, AttemptRefused):
            self.retry_after_s = max(self.retry_after_s, reply.retry_after_s)
            return await self._reassign(record)
        return await self._resolve(record, KeyState.UNKNOWN, None)

    async def _reassign(self, record: KeyRecord) -> RequestOutcome | MessageStruct:
        self.tried.add(record.agent_id)
        peer = self.selector.choose(self.request.service, self.tried)
        if peer is None or self.request.remaining_s() <= 0:
            return await self._resolve(record, KeyState.NOT_RUN, None)
        return await self._ask_control(
            ReassignKey(
                client_account=self.request.client_account,
                key=self.request.key,
                attempt=record.attempt,
                agent_id=peer.record.agent_id,
                agent_incarnation=peer.record.incarnation,
            )
        )

    async def _resolve_completed(
        self, record: KeyRecord, reply: AttemptAnswer
    ) -> RequestOutcome | MessageStruct:
        kept = reply.body if len(reply.body) <= STORED_BODY_LIMIT_BYTES else None
        stored = StoredAnswer(reply.status_code, reply.content_type, kept)
        resolved = await self._resolve(record, KeyState.COMPLETED, stored)
        if isinstance(resolved, KeyRecord) and resolved.state is KeyState.COMPLETED:
            return completed(reply.status_code, reply.content_type, reply.body)
        return resolved

    async def _resolve(
        self, record: KeyRecord, state: KeyState, answer: StoredAnswer | None
    ) -> MessageStruct:
        return await self._ask_control(
            ResolveKey(
                client_account=self.request.client_account,
                key=self.request.key,
                attempt=record.attempt,
                state=state,
                answer=answer,
            )
        )

    async def _stored_answer(self, record: KeyRecord, answer: StoredAnswer) -> RequestOutcome:
        if answer.body is not None:
            return completed(answer.status_code, answer.content_type, answer.body)
        peer = self.directory.find(record.agent_id, record.agent_incarnation)
        if peer is not None:
            try:
                reply = await peer.call(self._attempt_call(record), self._call_timeout_s())
            except WireError:
                return outcome_unknown(ANSWER_LOST_CODE, "its agent does not answer", 1.0)
            if isinstance(reply, AttemptAnswer):
                return completed(reply.status_code, reply.content_type, reply.body)
        return outcome_unknown(ANSWER_LOST_CODE, "the request completed, but its answer is lost")

    async def _cancel(self, record: KeyRecord) -> RequestOutcome | MessageStruct:
        """The deadline has passed or nobody waits: an attempt not yet started never starts."""
        peer = self.directory.find(record.agent_id, record.agent_incarnation)
        if peer is None:
            return outcome_unknown(DEADLINE_CODE, "its agent is not reachable", 1.0)
        call = CancelAttempt(
            attempt_id=self._attempt_id(record),
            agent_incarnation=record.agent_incarnation,
            claim_index=record.claim_index,
        )
        try:
            reply = await peer.call(call, CANCEL_TIMEOUT_S)
        except WireError:
            return outcome_unknown(DEADLINE_CODE, "no answer before the deadline", 1.0)
        if isinstance(reply, AttemptRefused):
            resolved = await self._resolve(record, KeyState.NOT_RUN, None)
            if isinstance(resolved, KeyRecord) and resolved.state is KeyState.NOT_RUN:
                return not_run(504, DEADLINE_CODE, "not started before the deadline", 1.0)
            return resolved
        # Still running: the record stays as it is, and a resend joins the attempt.
        detail = "still running at the deadline; come back with the same key"
        return outcome_unknown(DEADLINE_CODE, detail, 1.0)

    async def _call_or_abandon(self, peer: AgentPeer, record: KeyRecord) -> MessageStruct | None:
        """Returns None when the deadline passed or no caller waits any more."""
        sending = asyncio.create_task(peer.call(self._attempt_call(record), self._call_timeout_s()))
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

    async def _ask_control(self, message: MessageStruct) -> MessageStruct:
        return await self.control.call(message, CONTROL_TIMEOUT_S)

    def _attempt_call(self, record: KeyRecord) -> RunAttempt:
        return RunAttempt(
            attempt_id=self._attempt_id(record),
            agent_incarnation=record.agent_incarnation,
            service=self.request.service,
            body=self.request.body,
            content_type=self.request.content_type,
            remaining_s=max(0.0, self.request.remaining_s()),
            trace_id=self.request.trace_id,
            claim_index=record.claim_index,
        )

    def _attempt_id(self, record: KeyRecord) -> str:
        return f"{self.request.client_account}/{self.request.key}/{record.attempt}"

    def _call_timeout_s(self) -> float:
        return max(0.0, self.request.remaining_s()) + 1.0

    def _not_run(self, code: str, detail: str) -> RequestOutcome:
        retry_after_s = max(NO_ENDPOINT_RETRY_AFTER_S, self.retry_after_s)
        return not_run(503, code, detail, retry_after_s)
