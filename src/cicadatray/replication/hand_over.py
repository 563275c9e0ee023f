"""Passing leadership to another member."""

import asyncio

import structlog

from cicadatray.replication.core import ReplicaCore
from cicadatray.replication.errors import PeerRefusedError, ReplicaTransportError
from cicadatray.replication.leadership import Leadership
from cicadatray.replication.message import CampaignReply, CampaignRequest
from cicadatray.replication.peer_replicator import PeerReplicator

HAND_OVER_POLL_S = 0.02

log = structlog.get_logger(__name__)


async def hand_over(core: ReplicaCore, timeout_s: float) -> bool:
    """Lets the voter that is most up to date take over; returns whether leadership has ended.

    New proposals are refused meanwhile with `NotLeaderError`; those in progress are committed
    first. When nobody takes over in time, the leader continues.
    """
    leadership = core.leadership
    if leadership is None:
        return True
    if not any(peer.record.voter for peer in leadership.peers.values()):
        return False
    leadership.is_handing_over = True
    deadline_s = core.now_s() + timeout_s
    asked: set[str] = set()
    while not leadership.is_closed and core.now_s() < deadline_s:
        peer = _next_target(core, leadership, asked)
        if peer is None:
            await asyncio.sleep(HAND_OVER_POLL_S)
            continue
        asked.add(peer.record.identity)
        if await _ask(core, leadership, peer):
            # A second candidate in the same term would split the votes.
            campaign_end_s = min(deadline_s, core.now_s() + core.settings.call_timeout_s)
            while not leadership.is_closed and core.now_s() < campaign_end_s:
                await asyncio.sleep(HAND_OVER_POLL_S)
    leadership.is_handing_over = False
    log.info("handed over", member=core.settings.member_id, ended=leadership.is_closed)
    return leadership.is_closed


def _next_target(
    core: ReplicaCore, leadership: Leadership, asked: set[str]
) -> PeerReplicator | None:
    """Returns a voter that has every entry, including those that still wait in the queue."""
    last_index = core.storage.log.last_index + len(leadership.queue)
    for peer in leadership.peers.values():
        is_usable = peer.record.voter and not peer.refusal
        if is_usable and peer.match_index == last_index and peer.record.identity not in asked:
            return peer
    return None


async def _ask(core: ReplicaCore, leadership: Leadership, peer: PeerReplicator) -> bool:
    """Returns whether the voter campaigns."""
    leadership.lease_usable = False
    request = CampaignRequest(
        identity=core.identity,
        term=leadership.term,
        group_id=core.storage.state.group_id,
        sender_id=core.settings.member_id,
        target_identity=peer.record.identity,
    )
    try:
        reply = await core.call(peer.record, request)
    except (ReplicaTransportError, PeerRefusedError):
        return False
    return isinstance(reply, CampaignReply) and reply.is_accepted
