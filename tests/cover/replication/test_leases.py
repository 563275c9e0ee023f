"""Tests of reads while leadership passes from one member to another."""

import pytest

from cicadatray.replication.role import Role
from cover.replication.cluster import Cluster, Node


def _with_leader(seed: int) -> tuple[Cluster, Node, str, list[str]]:
    cluster = Cluster(seed, append_batch_bytes=1)
    leader = cluster.wait_leader()
    cluster.advance_busily(0.5)
    cluster.advance(0.5)
    name = leader.settings.member_id
    return cluster, leader, name, [other for other in cluster.nodes if other != name]


@pytest.mark.parametrize("seed", range(6))
def test_member_without_contact_does_not_break_the_lease(seed: int) -> None:
    """Guards against votes given while the leader still holds a lease that counts on the voter."""
    cluster, leader, name, (deaf, _) = _with_leader(seed)
    term = leader.replica.term
    cluster.network.cuts = {(name, deaf)}
    cluster.advance_busily(6.0, 0.01, (leader,))
    cluster.network.cuts = set()
    cluster.advance_busily(3.0)
    assert (cluster.leader(), leader.replica.term) == (leader, term)
    cluster.close()


@pytest.mark.parametrize("seed", range(6))
def test_restarted_member_keeps_the_lease(seed: int) -> None:
    """Guards against a restart that forgets the lease the member had granted."""
    cluster, leader, name, (cut, restarted) = _with_leader(seed)
    cluster.advance(0.5)
    cluster.network.cuts = {(name, cut), (cut, name)}
    cluster.advance(1.0 + 0.3 * seed)
    for _ in range(4):
        node = cluster.nodes[restarted]
        node.kill()
        node.disk.restart()
        node.start(cluster)
        cluster.advance_busily(0.8, 0.01, (leader,))
    cluster.close()


@pytest.mark.parametrize("delay_s", [0.002, 0.1, 0.3])
@pytest.mark.parametrize("seed", range(6))
def test_frozen_leader_answers_no_stale_read(seed: int, delay_s: float) -> None:
    """Guards against a lease that outlives a freeze, or is renewed by replies read after it."""
    cluster, leader, name, others = _with_leader(seed)
    cluster.network.delay_s = delay_s
    cluster.advance(0.5 + 0.07 * seed)
    leader.process.is_frozen = True
    cluster.network.delay_s = 0.002
    cluster.advance(0.3)
    cluster.network.cuts = {(other, name) for other in others}  # only old replies wait for it
    cluster.advance_until(cluster.leader)
    cluster.advance_busily(0.1, 0.01)
    cluster.propose_until_done()
    leader.process.thaw()
    cluster.advance_busily(0.5, 0.01)
    cluster.close()


@pytest.mark.parametrize("seed", range(6))
def test_new_leader_waits_for_its_first_entry(seed: int) -> None:
    """Guards against reads before the leader knows what was committed, and against committing
    entries of an earlier term by counting copies (Raft, figure 8)."""
    cluster, leader, name, (next_name, lagging) = _with_leader(seed)
    cluster.network.cuts = {(name, lagging)}
    for _ in range(5):
        cluster.spawn(leader, cluster.propose(leader))
    cluster.advance(0.08)
    assert len(cluster.acknowledged) == len(leader.machine.commands)
    leader.kill()
    cluster.network.delay_s = 0.05
    successor = cluster.nodes[next_name].replica
    known_index = successor.commit_index
    for _ in range(400):
        for node in cluster.running():
            cluster.spawn(node, cluster.read(node))
        cluster.advance(0.01)
        leadership = successor.core.leadership
        if leadership is not None and successor.commit_index > known_index:
            assert successor.commit_index >= leadership.term_start_index
    assert successor.role is Role.LEADER
    assert successor.commit_index > known_index
    cluster.close()
