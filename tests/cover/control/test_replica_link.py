"""Tests of the transport between replicas."""

import asyncio
import contextlib
import itertools
import random

import pytest

from cicadatray.internal.bench.virtual_time_loop import run_virtual
from cicadatray.internal.control.control_daemon import ControlDaemon
from cicadatray.internal.control.replica_configuration import replica_settings
from cicadatray.internal.control.replica_link import RECONNECT_LIMIT_S, ReplicaLink
from cicadatray.internal.settings.common import Address
from cicadatray.internal.settings.control_settings import ControlSettings
from cicadatray.internal.wire.message import Failure, MessageStruct
from cicadatray.internal.wire.messages.graph_messages import GroupAddresses
from cicadatray.internal.wire.messages.registry import message_codec
from cicadatray.replication.errors import NoReplicaError, ReplicaTransportError
from cicadatray.replication.member import Member
from cicadatray.replication.message import FormationRequest

MEMBER = Member("seed", "127.0.0.1", 7003)
TIMEOUT_S = 1.0
REQUEST = FormationRequest(identity="i", term=0)
CONTROL_SETTINGS = ControlSettings(
    name="own",
    data_centre="north",
    listen=Address("127.0.0.1", 7001),
    secret_file="",
    control=(),
    data_folder="/data",
    election_timeout_s=0.45,
    dump_folder="/tmp",
)


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


@pytest.mark.parametrize("seed", range(5))
def test_member_is_called_soon_after_its_network_has_come_back(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against heartbeats that wait for an attempt whose first packet was lost.

    The system sends that packet again after 1 s, when the member has long started an election.
    """
    random.seed(seed)
    attempts_s: list[float] = []

    async def open_connection(*_: object, **__: object) -> None:
        attempts_s.append(asyncio.get_running_loop().time())
        await asyncio.get_running_loop().create_future()

    monkeypatch.setattr(asyncio, "open_connection", open_connection)
    settings = replica_settings(CONTROL_SETTINGS)

    async def main() -> None:
        daemon = ControlDaemon(CONTROL_SETTINGS, b"")
        for _ in range(100):
            with contextlib.suppress(ReplicaTransportError):
                await daemon.replica_link.call(MEMBER, REQUEST, settings.call_timeout_s)
            await asyncio.sleep(settings.heartbeat_s)
        await daemon.replica_link.close()

    run_virtual(main())
    longest_s = max(later - earlier for earlier, later in itertools.pairwise(attempts_s))
    assert longest_s <= settings.call_timeout_s + RECONNECT_LIMIT_S + settings.heartbeat_s
