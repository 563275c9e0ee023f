"""How messages reach other members."""

from typing import Protocol

from cicadatray.replication.member import Member
from cicadatray.replication.message import ReplicaMessage


class ReplicaTransport(Protocol):
    """May lose, delay, duplicate or reorder messages, but must not alter them."""

    async def call(
        self, member: Member, message: ReplicaMessage, timeout_s: float
    ) -> ReplicaMessage:
        """Passes a message to the member's `Replica.handle` and returns its reply.

        Raises:
            ReplicaTransportError: on any failure.
        """
