"""An agent as an entry sees it."""

import asyncio

from cicadatray.internal.entry.endpoint_health import EndpointHealth
from cicadatray.internal.wire.codec import Codec
from cicadatray.internal.wire.errors import PeerUnreachableError
from cicadatray.internal.wire.message import Failure, MessageStruct
from cicadatray.internal.wire.messages.attempt_messages import (
    AgentLoad,
    AttemptAnswer,
    AttemptFailed,
    AttemptRefused,
)
from cicadatray.internal.wire.messages.directory_messages import AgentRecord
from cicadatray.internal.wire.rpc_client import RpcClient
from cicadatray.internal.wire.rpc_server import BUSY_CODE

LOADED_REPLIES = (AttemptAnswer, AttemptFailed, AttemptRefused)


class AgentPeer:
    """One connection, the load that the agent told last, and the health of its endpoint."""

    __slots__ = ("client", "health", "in_flight", "load", "record", "retired")

    def __init__(self, record: AgentRecord, codec: Codec, secret: bytes) -> None:
        self.record = record
        self.client = RpcClient(record.host, record.port, codec, secret)
        self.load = AgentLoad(0, 0, record.slots, record.draining)
        self.health = EndpointHealth()
        self.in_flight = 0
        self.retired = False

    def load_score(self) -> float:
        """Returns the load for each slot, raised by failures.

        What this entry has in flight may not be reported yet.
        """
        reported = self.load.running + self.load.queued
        load = max(reported, self.in_flight) / max(1, self.load.slots)
        return load + self.health.penalty(asyncio.get_running_loop().time())

    def accepts_work(self) -> bool:
        """Tells whether the agent said that it is leaving."""
        return not (self.load.draining or self.record.draining)

    async def call(self, message: MessageStruct, timeout_s: float) -> MessageStruct:
        """Sends a call and takes the load from its reply.

        Raises:
            WireError: as of `RpcClient.call`.
        """
        self.in_flight += 1
        try:
            reply = await self.client.call(message, timeout_s)
        finally:
            self.in_flight -= 1
            if self.retired and self.in_flight == 0:
                await self.client.close()
        if isinstance(reply, LOADED_REPLIES):
            self.load = reply.load
        elif isinstance(reply, Failure):
            if reply.code == BUSY_CODE:
                # The agent did not look at the call, so the attempt cannot have run.
                raise PeerUnreachableError(f"{self.record.agent_id}: {reply.detail}")
            return AttemptFailed(code=reply.code, detail=reply.detail, load=self.load)
        return reply

    async def retire(self) -> None:
        """Closes the connection once the calls in progress have ended."""
        self.retired = True
        if self.in_flight == 0:
            await self.client.close()
