"""The attempt of a non-idempotent request at the agent that its key names."""

import asyncio

from cicadatray.internal.entry.agent_calls import cancel_attempt, start_attempt
from cicadatray.internal.entry.agent_peer import AgentPeer
from cicadatray.internal.entry.attempt_verdict import Verdict, judge_reply
from cicadatray.internal.entry.caller_request import CallerRequest
from cicadatray.internal.entry.endpoint_selector import EndpointChoice
from cicadatray.internal.entry.request_resources import RequestResources
from cicadatray.internal.wire.errors import WireError
from cicadatray.internal.wire.message import MessageStruct
from cicadatray.internal.wire.messages.attempt_messages import (
    AttemptAnswer,
    AttemptFailed,
    AttemptRefused,
)
from cicadatray.internal.wire.messages.key_messages import KeyRecord

RECONNECT_PAUSE_S = 0.1
NO_SLOT_CODE = "no_slot"
# The agent's code for an attempt that was started and can therefore not be cancelled.
CANCELLED_CODE = "cancelled"
# How long a call waits for an attempt whose callers have gone, before it is repeated.
BACKGROUND_CALL_S = 60.0


class KeyAttempt:
    """`sending` is the call in progress; the agent runs the attempt once for all such calls."""

    __slots__ = ("choice", "record", "request", "resources", "sending")

    def __init__(
        self,
        request: CallerRequest,
        resources: RequestResources,
        record: KeyRecord,
        choice: EndpointChoice | None,
    ) -> None:
        self.request = request
        self.resources = resources
        self.record = record
        self.choice = choice
        self.sending: asyncio.Task[MessageStruct] | None = None

    @property
    def attempt_id(self) -> str:
        """The claim's log index makes it unique, also for a key that expired and came back."""
        return f"{self.record.claim_index}/{self.record.attempt}"

    def peer(self) -> AgentPeer | None:
        """Returns the agent if the directory lists the incarnation that the key names."""
        return self.resources.directory.find(self.record.agent_id, self.record.agent_incarnation)

    async def is_agent_gone(self) -> bool:
        """Asks the leader whether the incarnation that the key names has ended.

        Raises:
            ControlUnavailableError: no leader answered in time.
        """
        directory = self.resources.directory
        return await directory.is_gone(self.record.agent_id, self.record.agent_incarnation)

    async def join(self) -> MessageStruct | None:
        """Runs the attempt or joins its run.

        Returns None when the request is not open any more or the agent has gone.

        Raises:
            ControlUnavailableError: no leader answered in time.
        """
        while self.request.is_open():
            peer = self.peer()
            if peer is None:
                if await self.is_agent_gone():
                    return None
                await self.request.pause(RECONNECT_PAUSE_S)
                continue
            self.sending = self._send(peer)
            if not await self.request.wait_for(self.sending):
                return None
            reply = self._take_reply(self.sending)
            if reply is not None:
                return reply
            await self.request.pause(RECONNECT_PAUSE_S)
        return None

    async def cancel(self) -> MessageStruct | None:
        """Tells the agent not to start the attempt; returns its reply, or None without one."""
        peer = self.peer()
        if peer is None:
            return None
        try:
            return await cancel_attempt(peer, self.attempt_id, self.record.claim_index)
        except WireError:
            return None

    async def finish(self) -> MessageStruct | None:
        """Waits for the reply of an attempt that outlives its callers; None when the agent ended.

        The call is repeated only after the agent said that the attempt has been started, so that
        an abandoned attempt is not started here.

        Raises:
            ControlUnavailableError: no leader answered in time.
        """
        while True:
            if self.sending is not None:
                await asyncio.wait((self.sending,))
                reply = self._take_reply(self.sending)
                if reply is not None:
                    return reply
                self.sending = None
            peer = self.peer()
            if peer is None:
                if await self.is_agent_gone():
                    return None
                await asyncio.sleep(RECONNECT_PAUSE_S)
                continue
            told = await self.cancel()
            if isinstance(told, AttemptFailed) and told.code == CANCELLED_CODE:
                self.sending = self._send(peer, BACKGROUND_CALL_S)
            elif told is not None:
                return told
            await asyncio.sleep(RECONNECT_PAUSE_S)

    def drop(self) -> None:
        """Ends the wait for the reply; the attempt itself goes on."""
        if self.sending is not None and not self.sending.done():
            self.sending.cancel()
        self._report(Verdict.NEUTRAL)

    def _send(self, peer: AgentPeer, longer_s: float = 0.0) -> asyncio.Task[MessageStruct]:
        claim_index = self.record.claim_index
        return start_attempt(self.request, peer, self.attempt_id, claim_index, longer_s)

    def _take_reply(self, sending: asyncio.Task[MessageStruct]) -> MessageStruct | None:
        try:
            reply = sending.result()
        except WireError:
            self._report(Verdict.FAILURE)
            return None
        if not isinstance(reply, AttemptAnswer | AttemptRefused | AttemptFailed):
            return None
        service = self.resources.admission.service(self.request.service)
        if isinstance(reply, AttemptRefused) and reply.code == NO_SLOT_CODE:
            service.observe_refusal()
        elif isinstance(reply, AttemptAnswer):
            service.observe_reply()
        self._report(judge_reply(reply))
        return reply

    def _report(self, verdict: Verdict) -> None:
        """Only the first result counts: a repeated call joins the same attempt."""
        if self.choice is not None:
            self.resources.selector.report(self.choice, verdict)
            self.choice = None
