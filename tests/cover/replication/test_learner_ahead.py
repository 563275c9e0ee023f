"""Tests of a learner's vote in a group whose leader was deposed while it promoted the learner."""

import pytest

from cover.replication.cluster import Cluster, Node

STEP_S = 0.0005
LIMIT_STEPS = 20_000


def elect_without_replication(cluster: Cluster, old_leader: Node) -> tuple[Node, Node]:
    """Elects another member whose entries reach no voter; returns it and the other voter."""
    voters = [
        node for name, node in cluster.nodes.items() if node is not old_leader and name != "n4"
    ]
    for _ in range(LIMIT_STEPS):
        cluster.advance(STEP_S)
        for node, other_voter in (voters, voters[::-1]):
            # The vote has been sent when the voter is frozen, and later killed.
            if node.replica.core.storage.state.voted_for == other_voter.replica.core.identity:
                node.process.is_frozen = True
                cluster.advance(0.5)
                node.kill()
                return other_voter, node
    raise AssertionError("no leader was elected")


@pytest.mark.parametrize("seed", range(4))
def test_group_elects_a_leader_although_a_learner_was_ahead_of_the_voters(seed: int) -> None:
    """Guards against a learner that is ahead of the voters and denies its vote to each candidate.

    One lost disk of three then left the group without a leader.
    """
    cluster = Cluster(seed)
    cluster.propose_until_acknowledged()
    cluster.nodes["n4"] = Node(cluster, "n4", bootstrap=False)
    cluster.nodes["n4"].start(cluster)
    assert cluster.run(cluster.change_membership("n4", "add"))
    cluster.advance(1.0)
    old_leader = cluster.wait_for_leader()
    cluster.isolate(old_leader.settings.member_id)
    promotion = cluster.loop.create_task(cluster.change_membership("n4", "promote"))
    new_leader, other_voter = elect_without_replication(cluster, old_leader)
    assert cluster.leader() is new_leader
    lost = new_leader.settings.member_id
    cluster.lose_disk(lost, bootstrap=False)
    other_voter.disk.restart()
    other_voter.start(cluster)
    cluster.network.blocked_links = set()
    cluster.propose_until_acknowledged()
    assert promotion.done()
    cluster.run(cluster.add_and_promote(lost))
    cluster.propose_until_acknowledged()
    cluster.advance(2.0)
    assert all(
        node.state_machine.commands == cluster.applied_commands for node in cluster.nodes.values()
    )
    cluster.close()
