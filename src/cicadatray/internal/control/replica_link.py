"""The transport of the replicated log between control instances."""

from cicadatray.internal.control.replica_channel import ReplicaChannel
from cicadatray.internal.wire.backoff import Backoff
from cicadatray.internal.wire.codec import Codec
from cicadatray.internal.wire.errors import WireError
from cicadatray.internal.wire.messages.directory_messages import ReplicaAnswer, ReplicaCall
from cicadatray.internal.wire.messages.graph_messages import GroupAddresses
from cicadatray.internal.wire.rpc_client import RpcClient
from cicadatray.replication.errors import (
    MessageDecodeError,
    NoReplicaError,
    ReplicaTransportError,
)
from cicadatray.replication.member import Member
from cicadatray.replication.message import (
    ReplicaMessage,
    decode_replica_message,
    encode_replica_message,
)

# A member that has restarted must receive heartbeats again before it starts an election.
RECONNECT_LIMIT_S = 0.5


class ReplicaLink:
    """Sends the messages of a replica, over one channel for each other member."""

    __slots__ = ("channels", "codec", "member_id", "secret")

    def __init__(self, member_id: str, codec: Codec, secret: bytes) -> None:
        self.member_id = member_id
        self.codec = codec
        self.secret = secret
        self.channels: dict[Member, ReplicaChannel] = {}

    async def call(
        self, member: Member, message: ReplicaMessage, timeout_s: float
    ) -> ReplicaMessage:
        """Sends a message and returns its reply.

        Raises:
            NoReplicaError: a control instance without a replica replied.
            ReplicaTransportError: the member did not reply in time, or its reply is invalid.
        """
        call = ReplicaCall(member_id=self.member_id, payload=encode_replica_message(message))
        try:
            reply = await self._channel(member).call(call, timeout_s)
        except WireError as error:
            raise ReplicaTransportError(str(error)) from error
        if isinstance(reply, GroupAddresses):
            raise NoReplicaError(f"{member.member_id} holds no replica")
        if not isinstance(reply, ReplicaAnswer):
            raise ReplicaTransportError(f"{member.member_id} answered {reply}")
        try:
            return decode_replica_message(reply.payload)
        except MessageDecodeError as error:
            raise ReplicaTransportError(f"{member.member_id}: {error}") from error

    async def close(self) -> None:
        """Closes all connections."""
        for channel in self.channels.values():
            await channel.close()

    def _channel(self, member: Member) -> ReplicaChannel:
        channel = self.channels.get(member)
        if channel is None:
            channel = ReplicaChannel(lambda: self._connect(member))
            self.channels[member] = channel
        return channel

    def _connect(self, member: Member) -> RpcClient:
        backoff = Backoff(limit_s=RECONNECT_LIMIT_S)
        return RpcClient(member.host, member.port, self.codec, self.secret, backoff)
