"""Tests of the transport between replicas."""

import pytest

from cicadatray.internal.bench.virtual_time_loop import run_virtual
from cicadatray.internal.control.replica_link import ReplicaLink
from cicadatray.internal.wire.message import Failure, MessageStruct
from cicadatray.internal.wire.messages.graph_messages import GroupAddresses
from cicadatray.internal.wire.messages.registry import message_codec
from cicadatray.replication.errors import NoReplicaError, ReplicaTransportError
from cicadatray.replication.member import Member
from cicadatray.replication.message import FormationRequest

MEMBER = Member("seed", "127.0.0.1", 7003)
TIMEOUT_S = 1.0


class AnsweringChannel:
    """Returns the same reply to every call."""

    def __init__(self, reply: MessageStruct) -> None:
        self.reply = reply

    async def call(self, message: MessageStruct, timeout_s: float) -> MessageStruct:
        return self.reply


@pytest.mark.parametrize(
    ("reply", "error_type"),
    [
        (GroupAddresses(), NoReplicaError),
        (Failure(code="busy", detail="too many calls"), ReplicaTransportError),
    ],
    ids=["no replica", "failure"],
)
def test_replies_of_processes_without_a_replica_are_told_apart(
    reply: MessageStruct, error_type: type[ReplicaTransportError]
) -> None:
    """Guards against waiting for the replica of an instance without a disk."""

    async def main() -> None:
        link = ReplicaLink("own", message_codec(), b"")
        link.channels[MEMBER] = AnsweringChannel(reply)  # type: ignore[assignment]
        with pytest.raises(ReplicaTransportError) as caught:
            await link.call(MEMBER, FormationRequest(identity="i", term=0), TIMEOUT_S)
        assert caught.type is error_type

    run_virtual(main())
