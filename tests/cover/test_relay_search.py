"""Tests of the search for a relay by a process that cannot reach control."""

import asyncio
import itertools
import random

import pytest

from cicadatray.internal.bench.virtual_time_loop import run_virtual
from cicadatray.internal.control.graphs.placement_input import SILENCE_LIMIT_S
from cicadatray.internal.settings.common import ControlMember
from cicadatray.internal.wire.control_client import (
    CONNECT_TIMEOUT_S,
    DIRECT_FAILURE_LIMIT,
    ControlClient,
)
from cicadatray.internal.wire.errors import PeerLostError, PeerUnreachableError
from cicadatray.internal.wire.message import MessageStruct
from cicadatray.internal.wire.messages.directory_messages import Acknowledged
from cicadatray.internal.wire.messages.graph_messages import MemberAddress, ReadMembers
from cicadatray.internal.wire.messages.registry import message_codec
from cicadatray.internal.wire.messages.relay_messages import RelayedCall
from cicadatray.internal.wire.relay_routes import RelayRoutes
from cicadatray.internal.wire.relay_server import RelayServer

MEMBERS = tuple(ControlMember(f"c{n}", "127.0.0.1", 7000 + n) for n in range(3))
RELAYS = tuple(MemberAddress(f"entry-{n}", "127.0.0.1", 7100 + n) for n in range(6))
CALL_TIMEOUT_S = 10.0
ATTEMPT_TIMEOUT_S = 1.0


class SilentPeer:
    """A peer behind a partition: a connection to it is neither accepted nor refused."""

    host = "127.0.0.1"
    port = 1

    async def call(self, message: MessageStruct, timeout_s: float) -> MessageStruct:
        await asyncio.sleep(min(timeout_s, CONNECT_TIMEOUT_S))
        raise PeerUnreachableError("no connection in time")


class FrozenPeer:
    """A peer that takes a call on an open connection and does not answer."""

    host = "127.0.0.1"
    port = 1

    async def call(self, message: MessageStruct, timeout_s: float) -> MessageStruct:
        await asyncio.sleep(timeout_s)
        raise PeerLostError("no reply in time")


class RelayPeer:
    """A relay that reaches control."""

    host = "127.0.0.1"
    port = 1

    def __init__(self) -> None:
        control = ControlClient(MEMBERS, message_codec(), b"", RelayRoutes("entry"))
        control.clients = {m.name: AnsweringPeer() for m in MEMBERS}  # type: ignore[misc]
        self.server = RelayServer("127.0.0.1", 0, control, message_codec(), b"")

    async def call(self, message: MessageStruct, timeout_s: float) -> MessageStruct:
        return await self.server.answer(message)


class AnsweringPeer:
    """The leader."""

    host = "127.0.0.1"
    port = 1

    async def call(self, message: MessageStruct, timeout_s: float) -> MessageStruct:
        return Acknowledged()


class DisconnectedRelayPeer(RelayPeer):
    """A relay that answers but cannot reach control."""

    async def call(self, message: MessageStruct, timeout_s: float) -> MessageStruct:
        self.server.control.clients = {m.name: SilentPeer() for m in MEMBERS}  # type: ignore[misc]
        assert isinstance(message, RelayedCall)
        return await self.server.answer(message)


def make_cut_off_client(
    useless_relays: tuple[int, ...], useless: type, member: type
) -> ControlClient:
    """Returns the client of a process that reaches no control instance and not every relay."""
    client = ControlClient(MEMBERS, message_codec(), b"", RelayRoutes("own"))
    client.clients = {m.name: member() for m in MEMBERS}
    client.update_relays(RELAYS)
    for number, relay in enumerate(RELAYS):
        peer = useless() if number in useless_relays else RelayPeer()
        client.relays.clients[relay] = peer
    return client


@pytest.mark.parametrize(
    ("member", "bound_s"),
    [(SilentPeer, SILENCE_LIMIT_S), (FrozenPeer, 2 * ATTEMPT_TIMEOUT_S + CONNECT_TIMEOUT_S + 1.0)],
)
@pytest.mark.parametrize("useless", [SilentPeer, DisconnectedRelayPeer, FrozenPeer])
def test_cut_off_process_reaches_control_although_half_of_the_relays_do_not(
    useless: type, member: type, bound_s: float
) -> None:
    """Guards against the loss of a worker's lease in a partition that relays could bridge.

    The relays on the machines of control are cut off like control itself. Each of them that was
    tried cost two timeouts, so that some agents found no working relay for over 5 s.
    """

    async def main() -> None:
        for number, useless_relays in enumerate(itertools.combinations(range(len(RELAYS)), 3)):
            random.seed(number)
            client = make_cut_off_client(useless_relays, useless, member)
            started_s = asyncio.get_running_loop().time()
            reply = await client.call(ReadMembers(), CALL_TIMEOUT_S, ATTEMPT_TIMEOUT_S)
            assert isinstance(reply, Acknowledged)
            assert asyncio.get_running_loop().time() - started_s < bound_s

    run_virtual(main())


def test_cut_off_process_replaces_a_lost_relay_at_once() -> None:
    """Guards against a try of control before each new relay while control cannot be reached."""

    async def main() -> None:
        client = make_cut_off_client((0,), SilentPeer, FrozenPeer)
        client.direct_failures = DIRECT_FAILURE_LIMIT
        client.relays.active = RELAYS[0]
        started_s = asyncio.get_running_loop().time()
        reply = await client.call(ReadMembers(), CALL_TIMEOUT_S, ATTEMPT_TIMEOUT_S)
        assert isinstance(reply, Acknowledged)
        assert asyncio.get_running_loop().time() - started_s < 2 * CONNECT_TIMEOUT_S

    run_virtual(main())


def test_failure_of_a_former_relay_keeps_the_present_one() -> None:
    """Guards against a late failure that makes all calls of a process search a relay again."""

    async def main() -> None:
        client = make_cut_off_client((0,), SilentPeer, SilentPeer)
        client.relays.active = RELAYS[0]
        call = asyncio.create_task(client.call(ReadMembers(), CALL_TIMEOUT_S, ATTEMPT_TIMEOUT_S))
        await asyncio.sleep(CONNECT_TIMEOUT_S / 2)
        client.relays.active = RELAYS[1]
        await asyncio.sleep(CONNECT_TIMEOUT_S)
        assert client.relays.active == RELAYS[1]
        assert isinstance(await call, Acknowledged)

    run_virtual(main())
