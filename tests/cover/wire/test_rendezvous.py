"""Tests of how a process finds the control group through seeds that are no members."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from cicadatray.internal.bench.virtual_time_loop import run_virtual
from cicadatray.internal.settings.common import ControlMember
from cicadatray.internal.wire.control_client import ControlClient, ControlUnavailableError
from cicadatray.internal.wire.errors import PeerUnreachableError
from cicadatray.internal.wire.leader_probe import LeaderProbe
from cicadatray.internal.wire.message import Failure, MessageStruct
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
                self.connected_to: Handler | None = None

            @property
            def is_connected(self) -> bool:
                handler = network.handlers.get(self.port)
                return handler is not None and self.connected_to == handler

            def release(self) -> None:
                """Does nothing: no connection is open."""

            async def call(self, message: MessageStruct, timeout_s: float) -> MessageStruct:
                network.calls.append(self.port)
                handler = network.handlers.get(self.port)
                if handler is None:
                    raise PeerUnreachableError("connection refused")
                self.connected_to = handler
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


async def answer_as_busy(call: MessageStruct) -> MessageStruct:
    return Failure(code="too_many_calls", detail="busy")


# The number of calls within `SEARCH_S`, in which there are ten rounds.
@pytest.mark.parametrize(
    ("change", "expected_calls"),
    [("", 2), ("restart", 3), ("members", 3), ("busy", 10)],
    ids=["no change", "seed restarted", "members replaced", "seed refuses"],
)
def test_seed_is_told_the_same_only_now_and_then(
    change: str, expected_calls: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against hundreds of entries that load a seed, and against a seed that forgets."""

    async def main() -> None:
        network = Network(monkeypatch)
        start_rendezvous(network, SEED)
        if change == "busy":
            network.handlers[SEED.port] = answer_as_busy
        client = make_client(SEED)
        client.update_members(MEMBERS)
        running = asyncio.create_task(SeedAnnouncer(client, "own", (SEED,)).run())
        await asyncio.sleep(1.2)
        if change == "restart":
            start_rendezvous(network, SEED)
        elif change == "members":
            client.update_members((LEADER,))
        await asyncio.sleep(SEARCH_S - 1.3)
        assert network.calls == [SEED.port] * expected_calls
        running.cancel()

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


# The settings of the member name members only, those of all other processes other instances.
def test_member_announces_the_group_to_recorded_instances(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a group that is not found because its own seeds are all members."""

    async def main() -> None:
        network = Network(monkeypatch)
        network.handlers[LEADER.port] = answer_as_leader
        _, probe = start_rendezvous(network, SEED)
        control = make_client(ControlMember("follower", HOST, 7002))
        recorded = MemberAddress(SEED.name, SEED.host, SEED.port)
        announcer = SeedAnnouncer(
            control,
            LEADER.name,
            (ControlMember("follower", HOST, 7002),),
            stored_members=lambda: MEMBERS,
            stored_seeds=lambda: (recorded,),
        )
        tasks = [asyncio.create_task(probe.run()), asyncio.create_task(announcer.run())]
        await asyncio.sleep(SEARCH_S)
        assert isinstance(await make_client(SEED).call(ReadMembers(), SEARCH_S), MembersReply)
        assert SEED.name not in control.member_names
        for task in tasks:
            task.cancel()

    run_virtual(main())


@pytest.mark.parametrize("address", [None, MemberAddress("seed", HOST, 7003)])
def test_probe_names_the_address_of_an_instance_without_a_replica(
    address: MemberAddress | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against instances that the group does not record and so never informs."""

    async def main() -> None:
        network = Network(monkeypatch)
        calls: list[MessageStruct] = []

        async def answer(call: MessageStruct) -> MessageStruct:
            calls.append(call)
            return await answer_as_leader(call)

        network.handlers[LEADER.port] = answer
        probe = LeaderProbe(
            make_client(ControlMember("leader", HOST, LEADER.port)), own_rendezvous=address
        )
        probing = asyncio.create_task(probe.run())
        await asyncio.sleep(0.1)
        probing.cancel()
        assert calls == [ReadMembers(rendezvous=address)]

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


# A control instance without a replica and an entry often share a machine.
@pytest.mark.parametrize("knows_members", [True, False], ids=["members known", "nothing known"])
def test_process_that_reaches_only_seeds_is_not_connected(
    knows_members: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an entry on a machine that is cut off and yet stays in the rotation."""

    async def main() -> None:
        network = Network(monkeypatch)
        rendezvous, _ = start_rendezvous(network, SEED)
        if knows_members:
            rendezvous.learn_members(MEMBERS)
        client = make_client(SEED)
        client.update_relays((RELAY,))
        probe = LeaderProbe(client)
        probe.last_leader_reply_s = client.last_reply_s = asyncio.get_running_loop().time()
        probing = asyncio.create_task(probe.run())
        await asyncio.sleep(SEARCH_S)
        assert not probe.is_connected()
        probing.cancel()

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
