"""Tests of a group without and with single faults."""

import pytest

from cicadatray.replication.role import Role
from cover.replication.cluster import Cluster


@pytest.mark.parametrize("size", [1, 2, 3, 5])
def test_group_forms_and_commits(size: int) -> None:
    """Guards against a group without a leader, or commands that some members do not apply."""
    cluster = Cluster(seed=1, size=size)
    leader = cluster.wait_for_leader()
    for _ in range(5):
        assert cluster.run(cluster.propose(leader))
    assert cluster.run(cluster.read(leader))
    cluster.advance(1.0)
    for node in cluster.nodes.values():
        assert len(node.state_machine.commands) == 5
    cluster.close()


def test_all_restart_with_their_data() -> None:
    """Guards against losing acknowledged commands when all members restart."""
    cluster = Cluster(seed=2)
    for _ in range(3):
        cluster.propose_until_acknowledged()
    for node in cluster.nodes.values():
        node.kill()
        node.disk.restart()
    for node in cluster.nodes.values():
        node.start(cluster)
    cluster.propose_until_acknowledged()
    assert len(cluster.applied_commands) == 4
    cluster.close()


def test_isolated_leader_steps_down_and_does_not_depose_its_successor() -> None:
    """Guards against an isolated leader that keeps serving, or deposes its successor later."""
    cluster = Cluster(seed=3)
    old_leader = cluster.wait_for_leader()
    name = old_leader.settings.member_id
    others = [other for other in cluster.nodes if other != name]
    cluster.network.blocked_links = {(name, other) for other in others} | {
        (o, name) for o in others
    }
    cluster.advance(1.4)
    assert old_leader.replica.role is Role.FOLLOWER
    assert not cluster.run(cluster.propose(old_leader))
    assert not cluster.run(cluster.read(old_leader))
    cluster.propose_until_acknowledged()
    new_leader = cluster.wait_for_leader()
    term = new_leader.replica.term
    cluster.advance(20.0)
    cluster.network.blocked_links = set()
    cluster.advance(5.0)
    assert (cluster.wait_for_leader(), new_leader.replica.term) == (new_leader, term)
    assert old_leader.state_machine.commands == new_leader.state_machine.commands
    cluster.close()
