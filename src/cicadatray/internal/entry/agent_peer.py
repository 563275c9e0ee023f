"""An entry's connection to one agent."""

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

REPLIES_WITH_LOAD = (AttemptAnswer, AttemptFailed, AttemptRefused)


class AgentPeer:
    """A connection to an agent with the last load it reported and the health of its endpoint."""

    __slots__ = ("client", "health", "in_flight", "load", "record", "retired")

    def __init__(self, record: AgentRecord, codec: Codec, secret: bytes) -> None:
        self.record = record
        self.client = RpcClient(record.host, record.port, codec, secret)
        self.load = AgentLoad(0, 0, record.slots, record.draining)
        self.health = EndpointHealth()
        self.in_flight = 0
        self.retired = False

    def load_score(self) -> float:
        """Returns the load per slot plus the penalty for recent failures."""
        # The reported load may not yet include the requests that this entry has in flight.
        reported = self.load.running + self.load.queued
        load = max(reported, self.in_flight) / max(1, self.load.slots)
        return load + self.health.penalty(asyncio.get_running_loop().time())

    def accepts_work(self) -> bool:
        """Returns whether the agent is not draining."""
        return not (self.load.draining or self.record.draining)

    async def call(self, message: MessageStruct, timeout_s: float) -> MessageStruct:
        """Sends a call and stores the load that the reply reports.

        Raises:
            WireError: see `RpcClient.call`.
        """
        self.in_flight += 1
        try:
            reply = await self.client.call(message, timeout_s)
        finally:
            self.in_flight -= 1
            if self.retired and self.in_flight == 0:
                await self.client.close()
        if isinstance(reply, REPLIES_WITH_LOAD):
            self.load = reply.load
        elif isinstance(reply, Failure):
            if reply.code == BUSY_CODE:
                # The agent rejected the call before processing it, so the attempt cannot have run.
                raise PeerUnreachableError(f"{self.record.agent_id}: {reply.detail}")
            return AttemptFailed(code=reply.code, detail=reply.detail, load=self.load)
        return reply

    async def retire(self) -> None:
        """Closes the connection as soon as no call is in progress."""
        self.retired = True
        if self.in_flight == 0:
            await self.client.close()
