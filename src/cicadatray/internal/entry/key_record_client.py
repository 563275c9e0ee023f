"""Access to the record of an idempotency key in the replicated log."""

from cicadatray.internal.entry.agent_peer import AgentPeer
from cicadatray.internal.entry.caller_request import CallerRequest
from cicadatray.internal.wire.control_client import ControlClient
from cicadatray.internal.wire.message import MessageStruct
from cicadatray.internal.wire.messages.key_messages import (
    ClaimKey,
    KeyRecord,
    KeyState,
    ReadKey,
    ReassignKey,
    ResolveKey,
    StoredAnswer,
)

CONTROL_TIMEOUT_S = 4.0


class KeyRecordClient:
    """Reads and changes the record of one key through the control leader.

    Changes are conditional on the attempt in effect. All methods raise `ControlUnavailableError` if
    no leader replied in time; the call may still take effect in that case.
    """

    __slots__ = ("control", "request")

    def __init__(self, request: CallerRequest, control: ControlClient) -> None:
        self.request = request
        self.control = control

    async def read(self) -> MessageStruct:
        """Returns the key's `KeyRecord`, or `KeyAbsent`, or a `Failure`."""
        return await self._call(
            ReadKey(client_account=self.request.client_account, key=self.request.key)
        )

    async def claim(self, peer: AgentPeer) -> MessageStruct:
        """Assigns the key to an agent unless it is assigned; returns the resulting record."""
        return await self._call(
            ClaimKey(
                client_account=self.request.client_account,
                key=self.request.key,
                digest=self.request.digest(),
                agent_id=peer.record.agent_id,
                agent_incarnation=peer.record.incarnation,
            )
        )

    async def reassign(self, record: KeyRecord, peer: AgentPeer) -> MessageStruct:
        """Assigns the next attempt to another agent; returns the resulting record."""
        return await self._call(
            ReassignKey(
                client_account=self.request.client_account,
                key=self.request.key,
                attempt=record.attempt,
                agent_id=peer.record.agent_id,
                agent_incarnation=peer.record.incarnation,
            )
        )

    async def resolve(
        self, record: KeyRecord, state: KeyState, answer: StoredAnswer | None = None
    ) -> MessageStruct:
        """Records the outcome of the attempt unless it has one; returns the resulting record."""
        return await self._call(
            ResolveKey(
                client_account=self.request.client_account,
                key=self.request.key,
                attempt=record.attempt,
                state=state,
                answer=answer,
            )
        )

    async def _call(self, message: MessageStruct) -> MessageStruct:
        return await self.control.call(message, CONTROL_TIMEOUT_S)
