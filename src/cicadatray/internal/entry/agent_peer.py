"""An agent as an entry sees it."""

from cicadatray.internal.wire.codec import Codec
from cicadatray.internal.wire.message import Failure, MessageStruct
from cicadatray.internal.wire.messages.attempt_messages import (
    AgentLoad,
    AttemptAnswer,
    AttemptFailed,
    AttemptRefused,
)
from cicadatray.internal.wire.messages.directory_messages import AgentRecord
from cicadatray.internal.wire.rpc_client import RpcClient

LOADED_REPLIES = (AttemptAnswer, AttemptFailed, AttemptRefused)


class AgentPeer:
    """One connection, and the load that the agent told last."""

    __slots__ = ("client", "in_flight", "load", "record")

    def __init__(self, record: AgentRecord, codec: Codec, secret: bytes) -> None:
        self.record = record
        self.client = RpcClient(record.host, record.port, codec, secret)
        self.load = AgentLoad(0, 0, record.slots, record.draining)
        self.in_flight = 0

    def score(self) -> float:
        """Returns the load for each slot; what this entry has in flight may not be reported yet."""
        reported = self.load.running + self.load.queued
        return max(reported, self.in_flight) / max(1, self.load.slots)

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
        if isinstance(reply, LOADED_REPLIES):
            self.load = reply.load
        elif isinstance(reply, Failure):
            return AttemptFailed(code=reply.code, detail=reply.detail, load=self.load)
        return reply
