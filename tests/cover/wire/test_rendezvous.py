"""Tests of how a process finds the control group through seeds that are no members."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from cicadatray.internal.bench.virtual_time_loop import run_virtual
from cicadatray.internal.settings.common import ControlMember
from cicadatray.internal.wire.control_client import ControlClient, ControlUnavailableError
from cicadatray.internal.wire.errors import PeerUnreachableError
from cicadatray.internal.wire.leader_probe import LeaderProbe
from cicadatray.internal.wire.message import MessageStruct
from cicadatray.internal.wire.messages.directory_messages import Acknowledged
from cicadatray.internal.wire.messages.graph_messages import (
    AnnounceMembers,
    GroupAddresses,
    MemberAddress,
    MembersReply,
    ReadMembers,
)
from cicadatray.internal.wire.messages.registry import message_codec
from cicadatray.internal.wire.relay_routes import RelayRoutes
from cicadatray.internal.wire.rendezvous_server import RendezvousServer
from cicadatray.internal.wire.seed_announcer import SeedAnnouncer

Handler = Callable[[MessageStruct], Awaitable[MessageStruct]]
HOST = "127.0.0.1"
LEADER = MemberAddress("leader", HOST, 7001)
FOLLOWER = MemberAddress("follower", HOST, 7002)
MEMBERS = (LEADER, FOLLOWER)
SEED = ControlMember("seed", HOST, 7003)
OTHER_SEED = ControlMember("other-seed", HOST, 7004)
RELAY = MemberAddress("relay", HOST, 7100)
# Long enough for several probes and announcements.
SEARCH_S = 5.0


class Network:
    """Delivers calls to the handler of a port; a port without one refuses connections."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.handlers: dict[int, Handler] = {}
        self.calls: list[int] = []
        network = self

        class Client:
            def __init__(self, host: str, port: int) -> None:
                self.host = host
                self.port = port

            def release(self) -> None:
                """Does nothing: no connection is open."""

            async def call(self, message: MessageStruct, timeout_s: float) -> MessageStruct:
                network.calls.append(self.port)
                handler = network.handlers.get(self.port)
                if handler is None:
                    raise PeerUnreachableError("connection refused")
                return await handler(message)

        monkeypatch.setattr(
            ControlClient, "_new_client", lambda self, host, port: Client(host, port)
        )


async def answer_as_leader(call: MessageStruct) -> MessageStruct:
    return MembersReply(members=MEMBERS, term=1)


def make_client(*seeds: ControlMember) -> ControlClient:
    return ControlClient(seeds, message_codec(), b"", RelayRoutes("own"))


def start_rendezvous(network: Network, seed: ControlMember) -> tuple[ControlClient, LeaderProbe]:
    """Starts a control instance without a replica, whose settings name itself as a seed."""
    client = make_client(seed)
    probe = LeaderProbe(client)
    server = RendezvousServer(seed.host, seed.port, client, probe, message_codec(), b"")
    network.handlers[seed.port] = server.answer
    return client, probe


@pytest.mark.parametrize(
    "has_found_leader", [True, False], ids=["members and leader known", "members known"]
)
def test_seed_without_a_replica_leads_to_the_leader(
    has_found_leader: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a process that never finds the leader because no seed is a member."""

    async def main() -> None:
        network = Network(monkeypatch)
        network.handlers[LEADER.port] = answer_as_leader
        rendezvous, probe = start_rendezvous(network, SEED)
        if has_found_leader:
            rendezvous.update_members(MEMBERS)
            rendezvous.leader_name = LEADER.name
            probe.last_leader_reply_s = asyncio.get_running_loop().time()
        else:
            rendezvous.learn_members(MEMBERS)
        client = make_client(SEED)
        assert isinstance(await client.call(ReadMembers(), SEARCH_S), MembersReply)
        assert client.leader_name == LEADER.name

    run_virtual(main())


def test_member_announces_the_group_to_a_seed_that_knows_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against seeds that know no member after all processes have been restarted."""

    async def main() -> None:
        network = Network(monkeypatch)
        network.handlers[LEADER.port] = answer_as_leader
        _, probe = start_rendezvous(network, SEED)
        announcer = SeedAnnouncer(
            make_client(SEED), FOLLOWER.name, (SEED,), stored_members=lambda: MEMBERS
        )
        tasks = [asyncio.create_task(probe.run()), asyncio.create_task(announcer.run())]
        await asyncio.sleep(SEARCH_S)
        assert probe.has_recent_leader_reply()
        assert isinstance(await make_client(SEED).call(ReadMembers(), SEARCH_S), MembersReply)
        for task in tasks:
            task.cancel()

    run_virtual(main())


def test_announcements_reach_seeds_of_other_processes(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against two sets of seeds of which only one learns of the group."""

    async def main() -> None:
        network = Network(monkeypatch)
        first, _ = start_rendezvous(network, SEED)
        second, _ = start_rendezvous(network, OTHER_SEED)
        member = SeedAnnouncer(
            make_client(SEED), LEADER.name, (SEED,), stored_members=lambda: MEMBERS
        )
        await member.announce()
        await SeedAnnouncer(first, SEED.name, (SEED, OTHER_SEED)).announce()
        assert second.group == MEMBERS

    run_virtual(main())


@pytest.mark.parametrize(
    ("seeds", "announced_to"),
    [
        ((), []),
        ((SEED,), [SEED.port]),
        ((ControlMember("follower", HOST, 7002), SEED), [SEED.port]),
        ((ControlMember("own", HOST, 7009), OTHER_SEED), [OTHER_SEED.port]),
        ((ControlMember("leader", HOST, 7001),), []),
    ],
    ids=["no seeds", "a seed", "a member and a seed", "itself and a seed", "a member"],
)
def test_only_seeds_that_are_no_members_are_called(
    seeds: tuple[ControlMember, ...], announced_to: list[int], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against messages that cost every deployment whose seeds are members."""

    async def main() -> None:
        network = Network(monkeypatch)
        client = make_client(*seeds)
        client.update_members(MEMBERS)
        await SeedAnnouncer(client, "own", seeds).announce()
        assert network.calls == announced_to

    run_virtual(main())


def test_seed_that_is_down_does_not_stop_announcements(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a seed without power that keeps the other seeds from being informed."""

    async def main() -> None:
        network = Network(monkeypatch)
        rendezvous, _ = start_rendezvous(network, SEED)
        client = make_client(OTHER_SEED, SEED)
        announcer = SeedAnnouncer(
            client, LEADER.name, (OTHER_SEED, SEED), stored_members=lambda: MEMBERS
        )
        await announcer.announce()
        assert rendezvous.group == MEMBERS

    run_virtual(main())


def test_outdated_announcement_does_not_replace_what_the_leader_named(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a removed member that sends other processes to the group it has left."""

    async def main() -> None:
        network = Network(monkeypatch)
        rendezvous, _ = start_rendezvous(network, SEED)
        rendezvous.update_members(MEMBERS)
        removed = MemberAddress("removed", HOST, 7008)
        reply = await network.handlers[SEED.port](AnnounceMembers(members=(removed,)))
        assert isinstance(reply, Acknowledged)
        assert rendezvous.group == MEMBERS

    run_virtual(main())


def test_process_that_reaches_only_seeds_uses_a_relay(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a partitioned process that keeps asking a seed instead of using a relay."""

    async def main() -> None:
        network = Network(monkeypatch)
        rendezvous, _ = start_rendezvous(network, SEED)
        rendezvous.learn_members(MEMBERS)
        client = make_client(SEED)
        client.update_relays((RELAY,))
        with pytest.raises(ControlUnavailableError) as caught:
            await client.call(ReadMembers(), SEARCH_S)
        assert not caught.value.may_have_effect
        assert RELAY.port in network.calls

    run_virtual(main())


def test_seed_answers_other_calls_with_the_group(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a seed that acts on a call, or fails, although it has no replica."""

    async def main() -> None:
        network = Network(monkeypatch)
        rendezvous, _ = start_rendezvous(network, SEED)
        answer = network.handlers[SEED.port]
        assert await answer(ReadMembers()) == GroupAddresses()
        rendezvous.learn_members(MEMBERS)
        assert await answer(ReadMembers()) == GroupAddresses(members=MEMBERS)

    run_virtual(main())


def test_client_without_seeds_reports_that_control_is_unavailable(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a process that does not start because its settings name no seed."""

    async def main() -> None:
        network = Network(monkeypatch)
        network.handlers[LEADER.port] = answer_as_leader
        client = make_client()
        with pytest.raises(ControlUnavailableError, match="no control instance is known"):
            await client.call(ReadMembers(), 1.0)
        client.learn_members(MEMBERS)
        assert isinstance(await client.call(ReadMembers(), SEARCH_S), MembersReply)

    run_virtual(main())


@pytest.mark.parametrize(
    ("seeds", "kept"),
    [
        ((SEED,), {"leader", "follower", "seed"}),
        ((SEED, OTHER_SEED), {"leader", "follower", "seed", "other-seed"}),
        ((OTHER_SEED,), {"leader", "follower", "other-seed"}),
    ],
    ids=["same seeds", "one more seed", "other seed"],
)
def test_members_that_have_left_are_forgotten(
    seeds: tuple[ControlMember, ...], kept: set[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against searches for a leader that wait for instances which are gone for good."""

    async def main() -> None:
        network = Network(monkeypatch)
        client = make_client(SEED)
        client.learn_members((MemberAddress("removed", HOST, 7008), *MEMBERS))
        client.replace_seeds(seeds)
        assert "removed" in client.member_names
        network.handlers[LEADER.port] = answer_as_leader
        client.leader_name = LEADER.name
        probe = LeaderProbe(client)
        running = asyncio.create_task(probe.run())
        await asyncio.sleep(SEARCH_S)
        running.cancel()
        assert set(client.member_names) == set(client.clients) == kept

    run_virtual(main())


def test_search_goes_on_from_a_leader_that_was_forgotten(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a search that ends because the assumed leader is no member any more."""

    async def main() -> None:
        network = Network(monkeypatch)
        network.handlers[LEADER.port] = answer_as_leader
        client = make_client(SEED)
        client.update_members(MEMBERS)
        client.leader_name = "removed"
        assert isinstance(await client.call(ReadMembers(), SEARCH_S), MembersReply)

    run_virtual(main())
