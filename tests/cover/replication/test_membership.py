"""Tests of membership changes and lost disks."""

import pytest

from cicadatray.replication.role import Role
from cover.replication.cluster import Cluster, Node


@pytest.mark.parametrize("bootstrap", [True, False])
def test_member_without_its_disk_does_not_vote(bootstrap: bool) -> None:
    """Guards against a majority of a stale member and one that lost its acknowledged entries."""
    cluster = Cluster(seed=1)
    leader = cluster.wait_for_leader()
    lost, stale = [name for name, node in cluster.nodes.items() if node is not leader]
    cluster.isolate(stale)
    assert cluster.run(cluster.propose(leader))
    cluster.network.blocked_links = set()
    cluster.isolate(leader.settings.member_id)
    cluster.lose_disk(lost, bootstrap)
    cluster.advance(20.0)
    assert cluster.leader() is None
    assert cluster.nodes[lost].replica.role is Role.LEARNER
    cluster.network.blocked_links = set()
    cluster.propose_until_acknowledged()
    assert cluster.nodes[lost].state_machine.commands == []
    cluster.run(cluster.add_and_promote(lost))
    second = cluster.wait_for_leader().settings.member_id
    cluster.lose_disk(second, bootstrap)
    cluster.propose_until_acknowledged()
    cluster.run(cluster.add_and_promote(second))
    cluster.propose_until_acknowledged()
    cluster.advance(1.0)
    assert all(
        node.state_machine.commands == cluster.applied_commands for node in cluster.nodes.values()
    )
    cluster.close()


def test_members_join_and_leave_one_at_a_time() -> None:
    """Guards against members that never become voters, and removed ones that depose the leader."""
    cluster = Cluster(seed=2)
    cluster.propose_until_acknowledged()
    for name in ("n4", "n5"):
        cluster.nodes[name] = Node(cluster, name, bootstrap=False)
        cluster.nodes[name].start(cluster)
        cluster.run(cluster.add_and_promote(name))
    leader = cluster.wait_for_leader()
    removed = next(name for name, node in cluster.nodes.items() if node is not leader)
    assert cluster.run(cluster.change_membership(removed, "remove"))
    cluster.advance(5.0)
    assert cluster.leader() is leader
    assert len(leader.replica.describe().members) == 4
    assert not cluster.run(cluster.change_membership(leader.settings.member_id, "remove"))
    cluster.propose_until_acknowledged()
    cluster.close()


def test_second_change_is_refused_during_the_first() -> None:
    """Guards against two concurrent changes, whose majorities need not overlap."""
    cluster = Cluster(seed=3)
    leader = cluster.wait_for_leader()
    others = [name for name, node in cluster.nodes.items() if node is not leader]
    cluster.advance(1.0)
    first = cluster.loop.create_task(cluster.change_membership(others[0], "remove"))
    cluster.advance(0.0)
    assert not cluster.run(cluster.change_membership(others[1], "remove"))
    assert cluster.run(first)
    cluster.close()


@pytest.mark.parametrize("operations", range(13))
def test_group_forms_despite_crashes(operations: int) -> None:
    """Guards against a formation after which crashed members belong to different groups."""
    cluster = Cluster(seed=operations)
    for number, node in enumerate(cluster.nodes.values()):
        node.disk.crash_after = (operations + 5 * number) % 13
    cluster.advance(1.0)
    for node in cluster.nodes.values():
        if not node.is_running:
            node.kill()
            node.disk.restart()
            node.start(cluster)
        node.disk.crash_after = -1
    cluster.propose_until_acknowledged()
    cluster.advance(1.0)
    groups = {node.replica.describe().group_id for node in cluster.nodes.values()}
    assert len(groups) == 1
    assert all(len(node.state_machine.commands) == 1 for node in cluster.nodes.values())
    cluster.close()


@pytest.mark.parametrize("cut_after_ms", range(8))
def test_disk_lost_during_formation(cut_after_ms: int) -> None:
    """Guards against a group that starts to work before every member has stored all identities."""
    cluster = Cluster(seed=cut_after_ms)
    cluster.advance(cut_after_ms / 1000)
    cluster.isolate("n3")
    cluster.advance(0.1)
    is_formed = bool(cluster.nodes["n1"].replica.describe().group_id)
    cluster.lose_disk("n2", bootstrap=True)
    cluster.advance(10.0)
    assert cluster.leader() is None
    cluster.network.blocked_links = set()
    cluster.propose_until_acknowledged()
    if is_formed:
        cluster.run(cluster.add_and_promote("n2"))
    cluster.advance(1.0)
    assert all(
        node.state_machine.commands == cluster.applied_commands for node in cluster.nodes.values()
    )
    cluster.close()


def test_lagging_learner_is_not_promoted() -> None:
    """Guards against a new voter that lacks committed entries."""
    cluster = Cluster(seed=4)
    cluster.propose_until_acknowledged()
    cluster.nodes["n4"] = Node(cluster, "n4", bootstrap=False)
    cluster.nodes["n4"].start(cluster)
    assert cluster.run(cluster.change_membership("n4", "add"))
    cluster.isolate("n4")
    cluster.propose_until_acknowledged()
    assert not cluster.run(cluster.change_membership("n4", "promote"))
    members = cluster.wait_for_leader().replica.describe().members
    assert [member.is_voter for member in members if member.member_id == "n4"] == [False]
    cluster.network.blocked_links = set()
    assert cluster.run(cluster.change_membership("n4", "promote"))
    cluster.close()
