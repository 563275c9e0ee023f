"""Keeps the number of voters without an operator: admits new members and replaces lost ones."""

import asyncio
import math

import structlog

from cicadatray.replication.core import ReplicaCore
from cicadatray.replication.errors import MembershipChangeError, NotLeaderError
from cicadatray.replication.leadership import Leadership
from cicadatray.replication.member import Member
from cicadatray.replication.membership import MemberRecord
from cicadatray.replication.membership_changes import MembershipChanges
from cicadatray.replication.peer_replicator import PeerReplicator

# How often the leader looks at its members.
KEEP_INTERVAL_S = 0.25
# A voter that has not answered for this long gives its place to a learner that has caught up.
# Longer than an election, shorter than the time in which a replaced machine must count again.
LOST_VOTER_S = 2.0
# A learner that has not answered for this long leaves the group; it may ask to join again.
LOST_LEARNER_S = 20.0

log = structlog.get_logger(__name__)


class GroupKeeper:
    """Runs on every member and acts while the member leads.

    A lost voter is removed before its successor is promoted: with four voters of which one is dead
    the group would bear no further loss either, but would need three answers for each entry.
    """

    __slots__ = ("core", "group_size", "requests")

    def __init__(self, core: ReplicaCore, group_size: int) -> None:
        self.core = core
        self.group_size = group_size
        self.requests: dict[str, Member] = {}

    def request_join(self, member: Member) -> None:
        """Notes that a member without contact to the group wants to be part of it."""
        self.requests[member.member_id] = member

    async def run(self) -> None:
        """Makes at most one change at a time, until the replica ends."""
        while True:
            await asyncio.sleep(KEEP_INTERVAL_S)
            leadership = self.core.leadership
            if leadership is None or not leadership.is_ready():
                continue
            try:
                await self._change_once(leadership)
            except (MembershipChangeError, NotLeaderError) as error:
                log.warning("membership not changed", reason=str(error))

    async def _change_once(self, leadership: Leadership) -> None:
        changes = MembershipChanges(self.core)
        if self.requests:
            _, member = self.requests.popitem()
            await changes.add_learner(member)
            return
        lost_learner = self._find_silent(leadership, voter=False, silence_s=LOST_LEARNER_S)
        if lost_learner is not None:
            log.info("learner removed", member=lost_learner.member.member_id)
            await changes.remove(lost_learner.member.member_id)
            return
        successor = self._caught_up_learner(leadership)
        if successor is None:
            return
        if len(self.core.membership.voters()) < self.group_size:
            log.info("learner promoted", member=successor.member.member_id)
            await changes.promote(successor.member.member_id)
            return
        lost_voter = self._find_silent(leadership, voter=True, silence_s=LOST_VOTER_S)
        if lost_voter is not None:
            log.info(
                "voter replaced",
                member=lost_voter.member.member_id,
                successor=successor.member.member_id,
            )
            await changes.remove(lost_voter.member.member_id)

    def _caught_up_learner(self, leadership: Leadership) -> MemberRecord | None:
        for peer in leadership.peers.values():
            is_current = peer.match_index >= self.core.applier.commit_index
            if not peer.record.voter and is_current and self._silence_s(leadership, peer) < 1.0:
                return peer.record
        return None

    def _find_silent(
        self, leadership: Leadership, voter: bool, silence_s: float
    ) -> MemberRecord | None:
        for peer in leadership.peers.values():
            is_wanted = peer.record.voter == voter
            if is_wanted and self._silence_s(leadership, peer) >= silence_s:
                return peer.record
        return None

    def _silence_s(self, leadership: Leadership, peer: PeerReplicator) -> float:
        heard_s = peer.acked_sent_s if peer.acked_sent_s > -math.inf else leadership.started_s
        return self.core.now_s() - heard_s
