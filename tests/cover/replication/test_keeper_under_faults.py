"""Tests of automatic membership changes under client load and additional faults."""

import asyncio
from collections.abc import Iterator

import pytest

from cicadatray.replication.member import Member
from cicadatray.replication.message import ReplicaMessage
from cicadatray.replication.replica import Replica
from cicadatray.replication.state_file import StateFile
from cicadatray.replication.storage import ReplicaStorage
from cover.replication.cluster import Cluster, Node
from cover.replication.fake_network import FakeTransport

# Duration of saving a vote, which takes two syncs of a small disk.
SYNC_S = 0.012
COMMAND_INTERVAL_S = 0.01
JOIN_TIMEOUT_S = 1.5
JOIN_INTERVAL_S = 0.4
# A voter counts as failed after 2 s; the changes that follow take milliseconds each.
REPLACEMENT_LIMIT_S = 6.0


class ManagedGroup(Cluster):
    """A group whose size its leader maintains, with members that ask to join."""

    def __init__(self, seed: int, size: int, spares: int) -> None:
        super().__init__(seed, size, group_size=size, membership_timeout_s=2.0)
        self.wait_for_leader()
        for number in range(size + 1, size + spares + 1):
            name = f"n{number}"
            self.nodes[name] = Node(self, name, bootstrap=False)
            self.nodes[name].start(self)
        self.loop.create_task(self.keep_joining())
        self.advance_until(
            lambda: len(self.leader_replica().core.membership.records) == size + spares
        )

    async def keep_joining(self) -> None:
        while True:
            await asyncio.sleep(JOIN_INTERVAL_S)
            leader = self.leader()
            for name, node in self.nodes.items():
                is_up = node.is_running and node.replica.core_or_none is not None
                if leader is not None and is_up and node.replica.needs_to_join(JOIN_TIMEOUT_S):
                    leader.replica.request_join(self.member(name))

    def leader_replica(self) -> Replica:
        """Waits for a leader and returns its replica."""
        return self.wait_for_leader().replica

    def voter_names(self) -> set[str]:
        """Returns the names of the voters in the leader's membership."""
        return {
            record.member.member_id for record in self.leader_replica().core.membership.voters()
        }

    def followers(self) -> list[str]:
        """Returns the names of all voters except the leader."""
        return sorted(self.voter_names() - {self.leader_replica().settings.member_id})


@pytest.fixture(name="groups")
def fixture_groups() -> Iterator[list[ManagedGroup]]:
    """Closes the groups that a test creates, which also checks their invariants."""
    groups: list[ManagedGroup] = []
    yield groups
    for group in groups:
        group.close()


def delay_vote_syncs(group: ManagedGroup, monkeypatch: pytest.MonkeyPatch) -> None:
    """Delays the durability of a saved vote by the syncs of a real disk."""
    durable_s: dict[StateFile, float] = {}
    save_vote = StateFile.save_vote

    def save(state_file: StateFile, term: int, voted_for: str) -> None:
        save_vote(state_file, term, voted_for)
        durable_s[state_file] = group.loop.time() + SYNC_S

    async def flush(storage: ReplicaStorage) -> None:
        await asyncio.sleep(durable_s.get(storage.state_file, 0.0) - group.loop.time())

    monkeypatch.setattr(StateFile, "save_vote", save)
    monkeypatch.setattr(ReplicaStorage, "flush", flush)


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("size", [3, 5])
def test_planned_stop_costs_no_election_timeout(
    size: int, seed: int, groups: list[ManagedGroup], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against asking several voters to campaign within milliseconds, which splits votes."""
    group = ManagedGroup(seed, size, 0)
    groups.append(group)
    group.propose_until_acknowledged()
    group.advance(1.0)
    delay_vote_syncs(group, monkeypatch)
    leader = group.wait_for_leader()
    term = leader.replica.term
    start_s = group.loop.time()
    stopping = group.loop.create_task(leader.replica.stop(), context=leader.process.context)
    group.run(asyncio.wait_for(stopping, 5.0))
    leader.kill()
    group.advance_until(lambda: group.wait_for_leader().replica.term > term)
    assert group.loop.time() - start_s < leader.settings.election_timeout_min_s / 2


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("extra_delay_s", [0.0, 0.05], ids=["near", "far"])
def test_lost_voter_is_replaced_while_commands_never_pause(
    extra_delay_s: float, seed: int, groups: list[ManagedGroup], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against waiting for a learner to hold the newest entry at the same time as voters.

    A successor with a longer round trip than the voters never does so under a steady load.
    """
    group = ManagedGroup(seed, 3, 1)
    groups.append(group)
    call = FakeTransport.call

    async def call_with_delay(
        transport: FakeTransport, member: Member, message: ReplicaMessage, timeout_s: float
    ) -> ReplicaMessage:
        if member.member_id == "n4":
            await asyncio.sleep(extra_delay_s)
        return await call(transport, member, message, timeout_s)

    async def client() -> None:
        while True:
            await asyncio.sleep(COMMAND_INTERVAL_S)
            leader = group.leader()
            if leader is not None:
                group.spawn(leader, group.propose(leader))

    monkeypatch.setattr(FakeTransport, "call", call_with_delay)
    group.loop.create_task(client())
    lost = group.followers()[0]
    group.nodes[lost].kill()
    group.advance_until(lambda: lost not in group.voter_names(), REPLACEMENT_LIMIT_S)
    assert len(group.voter_names()) == 3


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("size", [3, 5])
def test_new_leader_demotes_the_lost_voter_and_no_other(
    size: int, seed: int, groups: list[ManagedGroup]
) -> None:
    """Guards against a new leader, not yet in contact with any voter, demoting a working one."""
    group = ManagedGroup(seed, size, 1)
    groups.append(group)
    lost = group.followers()[0]
    group.nodes[lost].kill()
    group.advance_until(lambda: len(group.voter_names()) == size + 1)
    leader = group.wait_for_leader()
    group.run(leader.replica.transfer_leadership())
    group.advance_until(lambda: len(group.voter_names()) == size)
    assert lost not in group.voter_names()


@pytest.mark.parametrize("seed", range(4))
def test_learner_that_stopped_answering_is_not_promoted(
    seed: int, groups: list[ManagedGroup]
) -> None:
    """With a failed voter and a failed successor, four voters have no majority but three have."""
    group = ManagedGroup(seed, 3, 1)
    groups.append(group)
    group.nodes[group.followers()[0]].kill()
    group.advance(1.6)
    group.nodes["n4"].kill()
    group.advance(4.0)
    group.propose_until_acknowledged()
    assert "n4" not in group.voter_names()


@pytest.mark.parametrize("seed", range(3))
def test_member_that_cannot_be_called_does_not_delay_a_replacement(
    seed: int, groups: list[ManagedGroup]
) -> None:
    """Guards against join requests that time out and take precedence over all other changes."""
    group = ManagedGroup(seed, 3, 1)
    groups.append(group)
    group.nodes["n5"] = Node(group, "n5", bootstrap=False)
    group.nodes["n5"].start(group)
    group.network.blocked_links |= {(name, "n5") for name in group.nodes}
    lost = group.followers()[0]
    group.nodes[lost].kill()
    group.advance_until(lambda: lost not in group.voter_names(), REPLACEMENT_LIMIT_S)
