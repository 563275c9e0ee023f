"""Builds the description of a replica for state dumps."""

import math

from cicadatray.replication.core import ReplicaCore
from cicadatray.replication.description import MemberDescription, ReplicaDescription
from cicadatray.replication.membership import MemberRecord


def describe_replica(core: ReplicaCore) -> ReplicaDescription:
    """Returns the description of a replica as it stands now."""
    log = core.storage.log
    return ReplicaDescription(
        member_id=core.settings.member_id,
        identity=core.identity,
        group_id=core.storage.state.group_id,
        role=core.role,
        term=core.term,
        leader_id=core.leader_id,
        last_index=log.last_index,
        commit_index=core.applier.commit_index,
        applied_index=core.applier.applied_index,
        snapshot_index=core.storage.snapshots.last_index,
        first_index_held=log.base_index + 1,
        log_bytes=log.segment_log.size_bytes,
        held_bytes=log.bytes_in_memory,
        leader_contact_age_s=core.now_s() - core.last_leader_contact_s,
        failure=str(core.failure or ""),
        members=tuple(_describe_member(core, record) for record in core.membership.records),
    )


def _describe_member(core: ReplicaCore, record: MemberRecord) -> MemberDescription:
    peer = core.leadership.peers.get(record.identity) if core.leadership else None
    contact_age_s = None
    if peer is not None and peer.last_acked_send_s > -math.inf:
        contact_age_s = core.now_s() - peer.last_acked_send_s
    return MemberDescription(
        member_id=record.member.member_id,
        host=record.member.host,
        port=record.member.port,
        identity=record.identity,
        is_voter=record.voter,
        match_index=peer.match_index if peer else None,
        last_contact_age_s=contact_age_s,
        fault=peer.last_error if peer else "",
    )
