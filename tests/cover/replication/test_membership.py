"""Tests of membership changes and lost disks."""

import pytest

from cicadatray.replication.role import Role
from cover.replication.cluster import Cluster, Node


@pytest.mark.parametrize("bootstrap", [True, False])
def test_member_without_its_disk_does_not_vote(bootstrap: bool) -> None:
    """Guards against a majority made of a stale member and one that forgot what it acknowledged."""
    cluster = Cluster(seed=1)
    leader = cluster.wait_leader()
    lost, stale = [name for name, node in cluster.nodes.items() if node is not leader]
    cluster.cut_off(stale)
    assert cluster.run(cluster.propose(leader))
    cluster.network.cuts = set()
    cluster.cut_off(leader.settings.member_id)
    cluster.lose_disk(lost, bootstrap)
    cluster.advance(20.0)
    assert cluster.leader() is None
    assert cluster.nodes[lost].replica.role is Role.LEARNER
    cluster.network.cuts = set()
    cluster.propose_until_done()
    assert cluster.nodes[lost].machine.commands == []
    cluster.run(cluster.repair(lost))
    second = cluster.wait_leader().settings.member_id
    cluster.lose_disk(second, bootstrap)
    cluster.propose_until_done()
    cluster.run(cluster.repair(second))
    cluster.propose_until_done()
    cluster.advance(1.0)
    assert all(node.machine.commands == cluster.agreed for node in cluster.nodes.values())
    cluster.close()


def test_members_join_and_leave_one_at_a_time() -> None:
    """Guards against new members that never become voters and removed ones that disturb."""
    cluster = Cluster(seed=2)
    cluster.propose_until_done()
    for name in ("n4", "n5"):
        cluster.nodes[name] = Node(cluster, name, bootstrap=False)
        cluster.nodes[name].start(cluster)
        cluster.run(cluster.repair(name))
    leader = cluster.wait_leader()
    removed = next(name for name, node in cluster.nodes.items() if node is not leader)
    assert cluster.run(cluster.change(removed, "remove"))
    cluster.advance(5.0)
    assert cluster.leader() is leader
    assert len(leader.replica.describe().members) == 4
    assert not cluster.run(cluster.change(leader.settings.member_id, "remove"))
    cluster.propose_until_done()
    cluster.close()


def test_second_change_waits_for_the_first() -> None:
    """Guards against two changes in progress, whose majorities need not overlap."""
    cluster = Cluster(seed=3)
    leader = cluster.wait_leader()
    others = [name for name, node in cluster.nodes.items() if node is not leader]
    cluster.advance(1.0)
    first = cluster.loop.create_task(cluster.change(others[0], "remove"))
    cluster.advance(0.0)
    assert not cluster.run(cluster.change(others[1], "remove"))
    assert cluster.run(first)
    cluster.close()


@pytest.mark.parametrize("operations", range(13))
def test_group_forms_despite_crashes(operations: int) -> None:
    """Guards against a formation that leaves members in different groups after a crash."""
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
    cluster.propose_until_done()
    cluster.advance(1.0)
    groups = {node.replica.describe().group_id for node in cluster.nodes.values()}
    assert len(groups) == 1
    assert all(len(node.machine.commands) == 1 for node in cluster.nodes.values())
    cluster.close()


@pytest.mark.parametrize("cut_after_ms", range(8))
def test_disk_lost_during_formation(cut_after_ms: int) -> None:
    """Guards against a group that begins to work before every member knows all identities."""
    cluster = Cluster(seed=cut_after_ms)
    cluster.advance(cut_after_ms / 1000)
    cluster.cut_off("n3")
    cluster.advance(0.1)
    is_formed = bool(cluster.nodes["n1"].replica.describe().group_id)
    cluster.lose_disk("n2", bootstrap=True)
    cluster.advance(10.0)
    assert cluster.leader() is None
    cluster.network.cuts = set()
    cluster.propose_until_done()
    if is_formed:
        cluster.run(cluster.repair("n2"))
    cluster.advance(1.0)
    assert all(node.machine.commands == cluster.agreed for node in cluster.nodes.values())
    cluster.close()


def test_learner_that_lags_is_not_promoted() -> None:
    """Guards against a voter without the entries that its vote must protect."""
    cluster = Cluster(seed=4)
    cluster.propose_until_done()
    cluster.nodes["n4"] = Node(cluster, "n4", bootstrap=False)
    cluster.nodes["n4"].start(cluster)
    assert cluster.run(cluster.change("n4", "add"))
    cluster.cut_off("n4")
    cluster.propose_until_done()
    assert not cluster.run(cluster.change("n4", "promote"))
    members = cluster.wait_leader().replica.describe().members
    assert [member.is_voter for member in members if member.member_id == "n4"] == [False]
    cluster.network.cuts = set()
    assert cluster.run(cluster.change("n4", "promote"))
    cluster.close()
