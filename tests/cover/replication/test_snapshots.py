"""Tests of snapshots, log compaction and leadership transfer."""

from cicadatray.replication.message import CampaignRequest
from cicadatray.replication.role import Role
from cover.replication.cluster import Cluster

SMALL_LIMITS = {
    "snapshot_entries": 10,
    "retained_entries": 2,
    "snapshot_chunk_bytes": 64,
    "segment_bytes": 256,
}


def test_lagging_member_catches_up_from_chunks_while_others_commit() -> None:
    """Guards against a log that grows without limit, and catch-up that stalls or skips entries."""
    cluster = Cluster(seed=1, **SMALL_LIMITS)
    leader = cluster.wait_for_leader()
    lagging = next(node for node in cluster.nodes.values() if node is not leader)
    cluster.isolate(lagging.settings.member_id)
    for _ in range(60):
        assert cluster.run(cluster.propose(leader))
    assert len(leader.replica.core.storage.log.entries) <= 12
    assert len(leader.disk.names()) <= 5
    cluster.network.blocked_links = set()
    for _ in range(40):
        assert cluster.run(cluster.propose(leader))
        cluster.advance(0.02)
    assert lagging.replica.applied_index >= leader.replica.commit_index - 12
    assert lagging.replica.describe().snapshot_index > 50
    for node in cluster.nodes.values():
        node.kill()
        node.disk.restart()
        node.start(cluster)
    cluster.propose_until_acknowledged()
    cluster.advance(1.0)
    assert all(
        node.state_machine.commands == cluster.applied_commands for node in cluster.nodes.values()
    )
    cluster.close()


def test_stopping_leader_transfers_leadership_without_an_election_timeout() -> None:
    """Guards against a planned stop that leaves the group without a leader for seconds."""
    cluster = Cluster(seed=2)
    old_leader = cluster.wait_for_leader()
    start_s = cluster.loop.time()
    proposing = [cluster.loop.create_task(cluster.propose(old_leader)) for _ in range(3)]
    cluster.run(old_leader.replica.stop())
    old_leader.is_running = False
    new_leader = cluster.wait_for_leader()
    assert cluster.run(cluster.propose(new_leader))
    assert cluster.loop.time() - start_s < 0.3
    cluster.advance(2.0)
    assert all(task.done() for task in proposing)
    assert old_leader.replica.role is Role.STOPPED
    cluster.close()


def test_leader_continues_after_a_failed_transfer() -> None:
    """Guards against a failed transfer that blocks proposals, or reads under an invalid lease."""
    cluster = Cluster(seed=3)
    leader = cluster.wait_for_leader()
    assert cluster.run(cluster.propose(leader))
    cluster.advance(0.3)
    assert leader.replica.core.leadership is not None
    assert leader.replica.core.leadership.holds_lease()
    cluster.network.dropped_type = CampaignRequest
    assert not cluster.run(leader.replica.transfer_leadership())
    assert cluster.run(cluster.propose(leader))
    assert not leader.replica.core.leadership.holds_lease()
    assert cluster.run(cluster.read(leader))
    cluster.close()
