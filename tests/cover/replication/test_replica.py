"""Tests of a group without and with single faults."""

import pytest

from cicadatray.replication.role import Role
from cover.replication.cluster import Cluster


@pytest.mark.parametrize("size", [1, 2, 3, 5])
def test_group_forms_and_commits(size: int) -> None:
    """Guards against a group that never elects, or acknowledges what not all members apply."""
    cluster = Cluster(seed=1, size=size)
    leader = cluster.wait_leader()
    for _ in range(5):
        assert cluster.run(cluster.propose(leader))
    assert cluster.run(cluster.read(leader))
    cluster.advance(1.0)
    for node in cluster.nodes.values():
        assert len(node.machine.commands) == 5
    cluster.close()


def test_all_restart_with_their_data() -> None:
    """Guards against acknowledged commands lost in a restart of the whole group."""
    cluster = Cluster(seed=2)
    for _ in range(3):
        cluster.propose_until_done()
    for node in cluster.nodes.values():
        node.kill()
        node.disk.restart()
    for node in cluster.nodes.values():
        node.start(cluster)
    cluster.propose_until_done()
    assert len(cluster.agreed) == 4
    cluster.close()


def test_isolated_leader_steps_down_and_returns_quietly() -> None:
    """Guards against a cut-off leader that keeps serving, and one that deposes its successor."""
    cluster = Cluster(seed=3)
    old = cluster.wait_leader()
    name = old.settings.member_id
    others = [other for other in cluster.nodes if other != name]
    cluster.network.cuts = {(name, other) for other in others} | {(o, name) for o in others}
    cluster.advance(1.4)
    assert old.replica.role is Role.FOLLOWER
    assert not cluster.run(cluster.propose(old))
    assert not cluster.run(cluster.read(old))
    cluster.propose_until_done()
    new = cluster.wait_leader()
    term = new.replica.term
    cluster.advance(20.0)
    cluster.network.cuts = set()
    cluster.advance(5.0)
    assert (cluster.wait_leader(), new.replica.term) == (new, term)
    assert old.machine.commands == new.machine.commands
    cluster.close()
