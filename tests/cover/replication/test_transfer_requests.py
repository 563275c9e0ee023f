"""Requests to take over leadership that are handled late."""

import pytest

from cicadatray.replication.log_entry import encode_entries
from cicadatray.replication.message import AppendRequest, CampaignRequest
from cicadatray.replication.role import Role
from cover.replication.cluster import Cluster, Node


def _requests(leader: Node, follower: Node, term: int) -> tuple[CampaignRequest, AppendRequest]:
    core = leader.replica.core
    log = follower.replica.core.storage.log
    addressed = {
        "identity": core.identity,
        "group_id": core.storage.state.group_id,
        "sender_id": leader.settings.member_id,
        "target_identity": follower.replica.core.identity,
    }
    append = AppendRequest(
        **addressed,
        term=term + 1,
        prev_index=log.last_index,
        prev_term=log.last_term,
        commit_index=0,
        records=encode_entries([]),
    )
    return CampaignRequest(**addressed, term=term), append


@pytest.mark.parametrize("has_new_leader", [False, True])
def test_transfer_request_of_an_ended_term_is_dropped(has_new_leader: bool) -> None:
    """Guards against votes that ignore the lease of a leader that has not asked for a transfer.

    A member that was frozen handles the request of the former leader together with the first
    message of the next one. Votes for a transfer ignore leases, so its campaign against the next
    leader let that one answer reads that a newer write had overtaken.
    """
    cluster = Cluster(seed=5)
    leader = cluster.wait_for_leader()
    cluster.advance(0.5)
    follower = next(node for node in cluster.nodes.values() if node is not leader)
    term = leader.replica.term
    campaign, append = _requests(leader, follower, term)
    handler = follower.replica.handler
    assert handler is not None

    def handle() -> None:
        handler.handle(campaign)
        if has_new_leader:
            handler.handle(append)

    follower.process.context.run(handle)
    cluster.advance(0.1)
    assert follower.replica.term == term + 1
    assert follower.replica.role is (Role.FOLLOWER if has_new_leader else Role.LEADER)
    cluster.close()
