"""Leadership transfer to another member."""

import asyncio

import structlog

from cicadatray.replication.core import ReplicaCore
from cicadatray.replication.errors import PeerRefusedError, ReplicaTransportError
from cicadatray.replication.leadership import Leadership
from cicadatray.replication.message import CampaignReply, CampaignRequest
from cicadatray.replication.peer_replicator import PeerReplicator

TRANSFER_POLL_S = 0.02

log = structlog.get_logger(__name__)


async def transfer_leadership(core: ReplicaCore, timeout_s: float) -> bool:
    """Transfers leadership to an up-to-date voter; returns whether this leadership has ended.

    During the transfer new proposals are refused with `NotLeaderError`, and those in progress are
    committed first. If no voter takes over within `timeout_s`, the leader continues.
    """
    leadership = core.leadership
    if leadership is None:
        return True
    if not any(peer.record.voter for peer in leadership.peers.values()):
        return False
    leadership.is_transferring = True
    deadline_s = core.now_s() + timeout_s
    requested: set[str] = set()
    while not leadership.is_closed and core.now_s() < deadline_s:
        peer = _next_transfer_target(core, leadership, requested)
        if peer is None:
            await asyncio.sleep(TRANSFER_POLL_S)
            continue
        requested.add(peer.record.identity)
        if await _request_campaign(core, leadership, peer):
            # Wait before asking the next voter: two candidates in the same term split the votes.
            campaign_end_s = min(deadline_s, core.now_s() + core.settings.call_timeout_s)
            while not leadership.is_closed and core.now_s() < campaign_end_s:
                await asyncio.sleep(TRANSFER_POLL_S)
    leadership.is_transferring = False
    log.info(
        "leadership transfer finished", member=core.settings.member_id, ended=leadership.is_closed
    )
    return leadership.is_closed


def _next_transfer_target(
    core: ReplicaCore, leadership: Leadership, requested: set[str]
) -> PeerReplicator | None:
    """Returns a reachable voter, not asked before, with every entry including queued proposals."""
    last_index = core.storage.log.last_index + len(leadership.queue)
    for peer in leadership.peers.values():
        is_usable = peer.record.voter and not peer.last_error
        if is_usable and peer.match_index == last_index and peer.record.identity not in requested:
            return peer
    return None


async def _request_campaign(
    core: ReplicaCore, leadership: Leadership, peer: PeerReplicator
) -> bool:
    """Asks a voter to campaign; returns whether it has accepted."""
    leadership.is_lease_usable = False
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
