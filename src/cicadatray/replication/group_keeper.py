"""Keeps the number of voters without an operator: admits new members and replaces lost ones."""

import asyncio
import math
from collections import Counter

import structlog

from cicadatray.replication.core import ReplicaCore
from cicadatray.replication.errors import MembershipChangeError, NotLeaderError
from cicadatray.replication.leadership import Leadership
from cicadatray.replication.member import Member
from cicadatray.replication.membership_changes import MembershipChanges
from cicadatray.replication.peer_replicator import PeerReplicator

# How often the leader looks at its members.
KEEP_INTERVAL_S = 0.25
# A voter that has not answered for this long gives its place to a learner that has caught up.
# Longer than an election, shorter than the time in which a replaced machine must count again.
LOST_VOTER_S = 2.0
# A learner that has not answered for this long leaves the group; it may ask to join again.
LOST_LEARNER_S = 20.0
# A learner that has answered this recently may become a voter.
PRESENT_S = 1.0
ANSWER_POLL_S = 0.02

log = structlog.get_logger(__name__)


class GroupKeeper:
    """Runs on every member and acts while the member leads.

    A successor is promoted before the lost voter is demoted. The lost one may only be cut off: its
    disk still holds what it acknowledged, and must count if the disks of other members are lost
    before the successor has a vote.
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
        if await self._keep_size(leadership, changes):
            return
        # After the voters: a member that asks but cannot be called costs a timeout each time.
        if self.requests:
            _, member = self.requests.popitem()
            await changes.add_learner(member)
            return
        lost_learner = self._longest_silent(leadership, voter=False, silence_s=LOST_LEARNER_S)
        if lost_learner is not None:
            log.info("learner removed", member=lost_learner.record.member.member_id)
            await changes.remove(lost_learner.record.member.member_id)

    async def _keep_size(self, leadership: Leadership, changes: MembershipChanges) -> bool:
        """Promotes or demotes one member where needed; returns whether there was anything to do."""
        voters = len(self.core.membership.voters())
        if voters > self.group_size:
            return await self._demote_one(leadership, changes)
        lost_voter = self._longest_silent(leadership, voter=True, silence_s=LOST_VOTER_S)
        successor = self._best_learner(leadership, lost_voter)
        if successor is None:
            return False
        is_needed = voters < self.group_size or lost_voter is not None
        if not is_needed and not self._is_better_spread_with(successor):
            return False
        if not await self._answers_now(successor):
            return False
        log.info(
            "learner promoted",
            member=successor.record.member.member_id,
            data_centre=successor.record.member.data_centre,
            voters=voters,
            lost=lost_voter.record.member.member_id if lost_voter is not None else "",
        )
        await changes.promote(successor.record.member.member_id)
        return True

    async def _answers_now(self, peer: PeerReplicator) -> bool:
        """Returns whether a message sent from now on is answered.

        Next to a silent voter, a successor that has stopped too leaves no majority.
        """
        asked_s = self.core.now_s()
        deadline_s = asked_s + self.core.settings.store_timeout_s
        peer.wake.set()
        while peer.acked_sent_s < asked_s and self.core.now_s() < deadline_s:
            await asyncio.sleep(ANSWER_POLL_S)
        return peer.acked_sent_s >= asked_s

    async def _demote_one(self, leadership: Leadership, changes: MembershipChanges) -> bool:
        """Takes the vote of the voter whose loss costs least: a silent one, or a crowded one.

        Waits while a voter may be silent but cannot be told yet from one that is late.
        """
        crowd = self._voters_by_data_centre()
        peers = [peer for peer in leadership.peers.values() if peer.record.voter]
        if not peers:
            return False
        surplus = max(
            peers,
            key=lambda peer: (
                self._silence_s(leadership, peer) >= LOST_VOTER_S,
                crowd[peer.record.member.data_centre],
                self._silence_s(leadership, peer),
            ),
        )
        is_lost = self._silence_s(leadership, surplus) >= LOST_VOTER_S
        if not is_lost and any(self.core.now_s() - p.acked_sent_s >= PRESENT_S for p in peers):
            return False
        member = surplus.record.member
        log.info("voter demoted", member=member.member_id, silence_s=surplus.silence_s())
        await changes.demote(member.member_id)
        return True

    def _best_learner(
        self, leadership: Leadership, lost_voter: PeerReplicator | None
    ) -> PeerReplicator | None:
        """Returns a learner that has caught up, of the data centre with the fewest voters."""
        crowd = self._voters_by_data_centre()
        if lost_voter is not None:
            crowd[lost_voter.record.member.data_centre] -= 1
        learners = [
            peer
            for peer in leadership.peers.values()
            if not peer.record.voter
            and peer.has_caught_up()
            and self._silence_s(leadership, peer) < PRESENT_S
        ]
        return min(learners, key=lambda peer: crowd[peer.record.member.data_centre], default=None)

    def _is_better_spread_with(self, learner: PeerReplicator) -> bool:
        """Returns whether the learner's data centre has two voters fewer than another one."""
        crowd = self._voters_by_data_centre()
        return max(crowd.values()) - crowd[learner.record.member.data_centre] >= 2

    def _voters_by_data_centre(self) -> Counter[str]:
        return Counter(record.member.data_centre for record in self.core.membership.voters())

    def _longest_silent(
        self, leadership: Leadership, voter: bool, silence_s: float
    ) -> PeerReplicator | None:
        peers = [peer for peer in leadership.peers.values() if peer.record.voter == voter]
        longest = max(peers, key=lambda peer: self._silence_s(leadership, peer), default=None)
        if longest is None or self._silence_s(leadership, longest) < silence_s:
            return None
        return longest

    def _silence_s(self, leadership: Leadership, peer: PeerReplicator) -> float:
        heard_s = peer.acked_sent_s if peer.acked_sent_s > -math.inf else leadership.started_s
        return self.core.now_s() - heard_s
