"""Tests of reads while leadership passes from one member to another."""

import pytest

from cicadatray.replication.role import Role
from cover.replication.cluster import Cluster, Node


def _cluster_with_leader(seed: int) -> tuple[Cluster, Node, str, list[str]]:
    cluster = Cluster(seed, append_batch_bytes=1)
    leader = cluster.wait_for_leader()
    cluster.advance_under_load(0.5)
    cluster.advance(0.5)
    name = leader.settings.member_id
    return cluster, leader, name, [other for other in cluster.nodes if other != name]


@pytest.mark.parametrize("seed", range(6))
def test_member_without_contact_does_not_break_the_lease(seed: int) -> None:
    """Guards against votes granted while the leader's lease still depends on the voter."""
    cluster, leader, name, (unreachable, _) = _cluster_with_leader(seed)
    term = leader.replica.term
    cluster.network.blocked_links = {(name, unreachable)}
    cluster.advance_under_load(6.0, 0.01, (leader,))
    cluster.network.blocked_links = set()
    cluster.advance_under_load(3.0)
    assert (cluster.leader(), leader.replica.term) == (leader, term)
    cluster.close()


@pytest.mark.parametrize("seed", range(6))
def test_restarted_member_keeps_the_lease(seed: int) -> None:
    """Guards against a restarted member that ignores the lease it had granted."""
    cluster, leader, name, (isolated, restarted) = _cluster_with_leader(seed)
    cluster.advance(0.5)
    cluster.network.blocked_links = {(name, isolated), (isolated, name)}
    cluster.advance(1.0 + 0.3 * seed)
    for _ in range(4):
        node = cluster.nodes[restarted]
        node.kill()
        node.disk.restart()
        node.start(cluster)
        cluster.advance_under_load(0.8, 0.01, (leader,))
    cluster.close()


@pytest.mark.parametrize("delay_s", [0.002, 0.1, 0.3])
@pytest.mark.parametrize("seed", range(6))
def test_frozen_leader_answers_no_stale_read(seed: int, delay_s: float) -> None:
    """Guards against a lease that outlasts a freeze, or is renewed by replies read after it."""
    cluster, leader, name, others = _cluster_with_leader(seed)
    cluster.network.delay_s = delay_s
    cluster.advance(0.5 + 0.07 * seed)
    leader.process.is_frozen = True
    cluster.network.delay_s = 0.002
    cluster.advance(0.3)
    # Only replies that arrived during the freeze are still handled by the leader.
    cluster.network.blocked_links = {(other, name) for other in others}
    cluster.advance_until(cluster.leader)
    cluster.advance_under_load(0.1, 0.01)
    cluster.propose_until_acknowledged()
    leader.process.thaw()
    cluster.advance_under_load(0.5, 0.01)
    cluster.close()


@pytest.mark.parametrize("seed", range(6))
def test_new_leader_waits_for_its_first_entry(seed: int) -> None:
    """Guards against reads before the new leader has committed an entry of its own term.

    Also guards against committing entries of an earlier term by counting replicas (Raft, figure 8).
    """
    cluster, leader, name, (next_name, lagging) = _cluster_with_leader(seed)
    cluster.network.blocked_links = {(name, lagging)}
    for _ in range(5):
        cluster.spawn(leader, cluster.propose(leader))
    cluster.advance(0.08)
    assert len(cluster.acknowledged) == len(leader.state_machine.commands)
    leader.kill()
    cluster.network.delay_s = 0.05
    successor = cluster.nodes[next_name].replica
    initial_commit_index = successor.commit_index
    for _ in range(400):
        for node in cluster.running():
            cluster.spawn(node, cluster.read(node))
        cluster.advance(0.01)
        leadership = successor.core.leadership
        if leadership is not None and successor.commit_index > initial_commit_index:
            assert successor.commit_index >= leadership.term_start_index
    assert successor.role is Role.LEADER
    assert successor.commit_index > initial_commit_index
    cluster.close()
