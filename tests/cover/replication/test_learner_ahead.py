"""A learner's vote in a group whose leader was deposed while it promoted the learner."""

import pytest

from cover.replication.cluster import Cluster, Node

STEP_S = 0.0005
LIMIT_STEPS = 20_000


def elect_without_followers(cluster: Cluster, old: Node) -> tuple[Node, Node]:
    """Lets another member lead whose entries reach no voter; returns it and the other voter."""
    voters = [node for name, node in cluster.nodes.items() if node is not old and name != "n4"]
    for _ in range(LIMIT_STEPS):
        cluster.advance(STEP_S)
        for node, other in (voters, voters[::-1]):
            # The vote is on its way when the voter ends.
            if node.replica.core.storage.state.voted_for == other.replica.core.identity:
                node.process.is_frozen = True
                cluster.advance(0.5)
                node.kill()
                return other, node
    raise AssertionError("nobody was elected")


@pytest.mark.parametrize("seed", range(4))
def test_group_elects_although_a_learner_heard_more_than_the_voters(seed: int) -> None:
    """One lost disk of three ended the group: a learner that was ahead refused every candidate."""
    cluster = Cluster(seed)
    cluster.propose_until_done()
    cluster.nodes["n4"] = Node(cluster, "n4", bootstrap=False)
    cluster.nodes["n4"].start(cluster)
    assert cluster.run(cluster.change("n4", "add"))
    cluster.advance(1.0)
    old = cluster.wait_leader()
    cluster.cut_off(old.settings.member_id)
    promotion = cluster.loop.create_task(cluster.change("n4", "promote"))
    new, other = elect_without_followers(cluster, old)
    assert cluster.leader() is new
    lost = new.settings.member_id
    cluster.lose_disk(lost, bootstrap=False)
    other.disk.restart()
    other.start(cluster)
    cluster.network.cuts = set()
    cluster.propose_until_done()
    assert promotion.done()
    cluster.run(cluster.repair(lost))
    cluster.propose_until_done()
    cluster.advance(2.0)
    assert all(node.machine.commands == cluster.agreed for node in cluster.nodes.values())
    cluster.close()
