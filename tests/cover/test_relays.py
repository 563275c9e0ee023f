"""Tests of calls to control through relays during a partition."""

import asyncio
from typing import Any

import pytest

from cicadatray.internal.bench.virtual_time_loop import run_virtual
from cicadatray.internal.settings.common import ControlMember
from cicadatray.internal.wire.control_client import ControlClient, ControlUnavailableError
from cicadatray.internal.wire.errors import PeerLostError, PeerUnreachableError
from cicadatray.internal.wire.leader_probe import LeaderProbe
from cicadatray.internal.wire.message import Failure, MessageStruct
from cicadatray.internal.wire.messages.directory_messages import Acknowledged, NotLeader
from cicadatray.internal.wire.messages.graph_messages import (
    MemberAddress,
    MembersReply,
    ReadMembers,
)
from cicadatray.internal.wire.messages.registry import message_codec
from cicadatray.internal.wire.messages.relay_messages import (
    RelayedCall,
    RelayedReply,
    RelayUnavailable,
)
from cicadatray.internal.wire.relay_routes import RelayRoutes
from cicadatray.internal.wire.relay_server import RelayServer

MEMBERS = tuple(ControlMember(f"c{n}", "127.0.0.1", 7000 + n) for n in range(3))
RELAY = MemberAddress("entry", "127.0.0.1", 7100)


class FakePeer:
    """Raises or returns its outcome, and counts its calls."""

    def __init__(self, outcome: Any) -> None:
        self.outcome = outcome
        self.host = "127.0.0.1"
        self.port = 1
        self.calls = 0

    async def call(self, message: MessageStruct, timeout_s: float) -> MessageStruct:
        self.calls += 1
        if isinstance(self.outcome, Exception):
            raise self.outcome
        if callable(self.outcome):
            reply: MessageStruct = await self.outcome(message)
            return reply
        return self.outcome  # type: ignore[no-any-return]


def make_client(outcome: Any) -> ControlClient:
    client = ControlClient(MEMBERS, message_codec(), b"", RelayRoutes("own"))
    client.clients = {m.name: FakePeer(outcome) for m in MEMBERS}  # type: ignore[misc]
    return client


def test_partitioned_process_uses_a_relay() -> None:
    """Guards against the loss of a worker's lease when only its agent cannot reach control."""

    async def main() -> None:
        healthy = make_client(Acknowledged())
        server = RelayServer("127.0.0.1", 0, healthy, message_codec(), b"")
        client = make_client(PeerUnreachableError("cut"))
        client.update_relays((RELAY,))
        client.relays.clients[RELAY] = FakePeer(server.answer)  # type: ignore[assignment]
        assert isinstance(await client.call(ReadMembers(), 3.0), Acknowledged)
        assert client.is_relaying
        direct = sum(peer.calls for peer in client.clients.values())  # type: ignore[attr-defined]
        assert isinstance(await client.call(ReadMembers(), 3.0), Acknowledged)
        later = sum(peer.calls for peer in client.clients.values())  # type: ignore[attr-defined]
        assert later == direct

    run_virtual(main())


def test_relay_that_cannot_reach_control_forwards_no_calls() -> None:
    """Guards against partitioned processes that forward a call to each other until its deadline."""

    async def main() -> None:
        cut = make_client(PeerUnreachableError("cut"))
        cut.update_relays((RELAY,))
        cut.relays.active = RELAY
        server = RelayServer("127.0.0.1", 0, cut, message_codec(), b"")
        payload = message_codec().encode(0, ReadMembers())
        reply = await server.answer(RelayedCall(payload=payload, timeout_s=1.0))
        assert not isinstance(reply, RelayedReply)

    run_virtual(main())


@pytest.mark.parametrize(
    ("outcome", "may_have_effect"),
    [
        (PeerUnreachableError("refused"), False),
        (NotLeader(), False),
        (PeerLostError("sent"), True),
    ],
)
def test_whether_a_failed_call_may_have_had_an_effect(outcome: Any, may_have_effect: bool) -> None:
    """Guards against a caller that submits a job elsewhere although it may have been accepted."""

    async def main() -> None:
        with pytest.raises(ControlUnavailableError) as caught:
            await make_client(outcome).call(ReadMembers(), 1.0)
        assert caught.value.may_have_effect is may_have_effect

    run_virtual(main())


@pytest.mark.parametrize(
    ("reply", "may_have_effect"),
    [
        (RelayedReply(payload=b"another version"), True),
        (Failure(code="internal_error", detail=""), True),
        (RelayUnavailable(reason="cut", may_have_effect=True), True),
        (RelayUnavailable(reason="cut", may_have_effect=False), False),
        (PeerUnreachableError("refused"), False),
    ],
    ids=["undecodable", "failure", "in doubt", "not sent", "refused"],
)
def test_whether_a_call_through_a_relay_may_have_had_an_effect(
    reply: Any, may_have_effect: bool
) -> None:
    """Guards against a caller that is told that its job never runs although it was accepted."""

    async def main() -> None:
        client = make_client(PeerUnreachableError("cut"))
        client.update_relays((RELAY,))
        client.relays.clients[RELAY] = FakePeer(reply)  # type: ignore[assignment]
        client.relays.active = RELAY
        with pytest.raises(ControlUnavailableError) as caught:
            await client.call(ReadMembers(), 1.0)
        assert caught.value.may_have_effect is may_have_effect

    run_virtual(main())


def test_probe_goes_on_after_a_reply_that_it_cannot_decode() -> None:
    """Guards against a process that never finds the leader again after one invalid reply."""

    async def main() -> None:
        client = make_client(PeerUnreachableError("cut"))
        client.update_relays((RELAY,))
        undecodable = FakePeer(RelayedReply(payload=b"another version"))
        client.relays.clients[RELAY] = undecodable  # type: ignore[assignment]
        client.relays.active = RELAY
        probe = LeaderProbe(client)
        running = asyncio.create_task(probe.run())
        await asyncio.sleep(2.0)
        for peer in client.clients.values():
            peer.outcome = MembersReply(members=(), term=1)  # type: ignore[attr-defined]
        await asyncio.sleep(2.0)
        assert probe.has_recent_leader_reply()
        running.cancel()

    run_virtual(main())


def test_reply_of_any_member_prevents_the_use_of_relays() -> None:
    """Guards against sending all calls through relays during an election."""

    async def main() -> None:
        client = make_client(NotLeader())
        client.update_relays((RELAY,))
        with pytest.raises(ControlUnavailableError):
            await client.call(ReadMembers(), 1.0)
        assert not client.is_relaying

    run_virtual(main())


def test_process_that_reaches_a_relay_is_connected_without_a_leader() -> None:
    """Guards against entries that leave the rotation while all control instances are down.

    Clients were then sent to instances without power.
    """

    async def main() -> None:
        client = make_client(PeerUnreachableError("dark"))
        client.update_relays((RELAY,))
        peer = make_client(PeerUnreachableError("dark"))
        server = RelayServer("127.0.0.1", 0, peer, message_codec(), b"")
        client.relays.clients[RELAY] = FakePeer(server.answer)  # type: ignore[assignment]
        client.last_reply_s = 0.0
        probe = LeaderProbe(client)
        probe.last_leader_reply_s = 0.0
        running = asyncio.create_task(probe.run())
        for _ in range(40):
            await asyncio.sleep(0.5)
            assert probe.is_connected()
        assert not probe.has_recent_leader_reply()
        running.cancel()

    run_virtual(main())


def test_process_without_any_reply_is_not_connected() -> None:
    """Guards against an entry that stays in the rotation although it cannot serve requests."""

    async def main() -> None:
        client = make_client(PeerUnreachableError("cut"))
        client.update_relays((RELAY,))
        client.relays.clients[RELAY] = FakePeer(PeerLostError("cut"))  # type: ignore[assignment]
        probe = LeaderProbe(client)
        probe.last_leader_reply_s = 0.0
        running = asyncio.create_task(probe.run())
        await asyncio.sleep(5.0)
        assert not probe.is_connected()
        running.cancel()

    run_virtual(main())
