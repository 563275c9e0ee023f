"""Interface of the transport between members."""

from typing import Protocol

from cicadatray.replication.member import Member
from cicadatray.replication.message import ReplicaMessage


class ReplicaTransport(Protocol):
    """Delivers messages; may lose, delay, duplicate or reorder them, but must not alter them."""

    async def call(
        self, member: Member, message: ReplicaMessage, timeout_s: float
    ) -> ReplicaMessage:
        """Delivers a message to the member's `Replica.handle` and returns its reply.

        Raises:
            NoReplicaError: the process at the member's address holds no replica.
            ReplicaTransportError: the message was not delivered, or no reply arrived in time.
        """
