"""An attempt of a non-idempotent request at the agent that its key is assigned to."""

import asyncio

from cicadatray.internal.entry.agent_calls import cancel_attempt, start_attempt
from cicadatray.internal.entry.agent_peer import AgentPeer
from cicadatray.internal.entry.attempt_verdict import Verdict, classify_reply
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
# The agent's code for a cancellation that came after the start of the attempt.
CANCELLED_CODE = "cancelled"
# The timeout of a call that waits for an attempt without callers; the call is then repeated.
BACKGROUND_CALL_S = 60.0


class KeyAttempt:
    """One attempt; the agent runs it at most once, even if the call is repeated.

    `call_task` is the call in progress.
    """

    __slots__ = ("call_task", "choice", "record", "request", "resources")

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
        self.call_task: asyncio.Task[MessageStruct] | None = None

    @property
    def attempt_id(self) -> str:
        """The attempt's ID; the claim's log index makes it unique if an expired key is reused."""
        return f"{self.record.claim_index}/{self.record.attempt}"

    def peer(self) -> AgentPeer | None:
        """Returns the agent if the directory lists the incarnation that the key is assigned to."""
        return self.resources.directory.find(self.record.agent_id, self.record.agent_incarnation)

    async def has_agent_ended(self) -> bool:
        """Asks the leader whether the incarnation that the key is assigned to has ended.

        Raises:
            ControlUnavailableError: no leader replied in time.
        """
        directory = self.resources.directory
        return await directory.has_incarnation_ended(
            self.record.agent_id, self.record.agent_incarnation
        )

    async def join(self) -> MessageStruct | None:
        """Runs the attempt, or joins it if it is already running, and returns the agent's reply.

        Returns None if the request is closed or the agent's incarnation has ended.

        Raises:
            ControlUnavailableError: no leader replied in time.
        """
        while self.request.is_open():
            peer = self.peer()
            if peer is None:
                if await self.has_agent_ended():
                    return None
                await self.request.pause(RECONNECT_PAUSE_S)
                continue
            self.call_task = self._send(peer)
            if not await self.request.wait_for(self.call_task):
                return None
            reply = self._process_reply(self.call_task)
            if reply is not None:
                return reply
            await self.request.pause(RECONNECT_PAUSE_S)
        return None

    async def cancel(self) -> MessageStruct | None:
        """Asks the agent to cancel the attempt and returns its reply, or None without one."""
        peer = self.peer()
        if peer is None:
            return None
        try:
            return await cancel_attempt(peer, self.attempt_id, self.record.claim_index)
        except WireError:
            return None

    async def wait_for_end(self) -> MessageStruct | None:
        """Waits for the reply of an attempt that no caller waits for.

        Returns None if the agent's incarnation has ended. The call is repeated only after the agent
        has confirmed that the attempt was started, so that the repeated call does not start it.

        Raises:
            ControlUnavailableError: no leader replied in time.
        """
        while True:
            if self.call_task is not None:
                await asyncio.wait((self.call_task,))
                reply = self._process_reply(self.call_task)
                if reply is not None:
                    return reply
                self.call_task = None
            peer = self.peer()
            if peer is None:
                if await self.has_agent_ended():
                    return None
                await asyncio.sleep(RECONNECT_PAUSE_S)
                continue
            cancel_reply = await self.cancel()
            if isinstance(cancel_reply, AttemptFailed) and cancel_reply.code == CANCELLED_CODE:
                self.call_task = self._send(peer, BACKGROUND_CALL_S)
            elif cancel_reply is not None:
                return cancel_reply
            await asyncio.sleep(RECONNECT_PAUSE_S)

    def detach(self) -> None:
        """Stops waiting for the reply; the attempt itself is not cancelled."""
        if self.call_task is not None and not self.call_task.done():
            self.call_task.cancel()
        self._record_verdict(Verdict.NEUTRAL)

    def _send(self, peer: AgentPeer, extra_wait_s: float = 0.0) -> asyncio.Task[MessageStruct]:
        claim_index = self.record.claim_index
        return start_attempt(self.request, peer, self.attempt_id, claim_index, extra_wait_s)

    def _process_reply(self, call_task: asyncio.Task[MessageStruct]) -> MessageStruct | None:
        try:
            reply = call_task.result()
        except WireError:
            self._record_verdict(Verdict.FAILURE)
            return None
        if not isinstance(reply, AttemptAnswer | AttemptRefused | AttemptFailed):
            return None
        service = self.resources.admission.service(self.request.service)
        if isinstance(reply, AttemptRefused) and reply.code == NO_SLOT_CODE:
            service.observe_refusal()
        elif isinstance(reply, AttemptAnswer):
            service.observe_reply()
        self._record_verdict(classify_reply(reply))
        return reply

    def _record_verdict(self, verdict: Verdict) -> None:
        """Records the first verdict only, since a repeated call joins the same attempt."""
        if self.choice is not None:
            self.resources.selector.record_verdict(self.choice, verdict)
            self.choice = None
