"""Automatic membership changes: admits new members and replaces unresponsive ones."""

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

# Interval between two checks of the membership by the leader.
RECONCILE_INTERVAL_S = 0.25
# A voter that has not answered for this long is replaced by a learner that has caught up. Longer
# than an election, shorter than the time within which a replaced instance must be a voter again.
VOTER_TIMEOUT_S = 2.0
# A learner that has not answered for this long is removed; it may ask to join again.
LEARNER_TIMEOUT_S = 20.0
# A learner is promoted only if it has answered within this time.
RECENT_CONTACT_S = 1.0
REPLY_POLL_S = 0.02

log = structlog.get_logger(__name__)


class MembershipReconciler:
    """Keeps the number of voters at `group_size`; runs on every member, acts only on the leader.

    A successor is promoted before the unresponsive voter is demoted. That voter may merely be
    partitioned: its disk still holds what it acknowledged, and must count if the disks of other
    members are lost before the successor is a voter.
    """

    __slots__ = ("core", "group_size", "join_requests")

    def __init__(self, core: ReplicaCore, group_size: int) -> None:
        self.core = core
        self.group_size = group_size
        self.join_requests: dict[str, Member] = {}

    def request_join(self, member: Member) -> None:
        """Queues the request of a member without contact to the group to be added as a learner."""
        self.join_requests[member.member_id] = member

    async def run(self) -> None:
        """Makes at most one change per interval until cancelled."""
        while True:
            await asyncio.sleep(RECONCILE_INTERVAL_S)
            leadership = self.core.leadership
            if leadership is None or not leadership.is_ready():
                continue
            try:
                await self._reconcile_once(leadership)
            except (MembershipChangeError, NotLeaderError) as error:
                log.warning("membership change failed", reason=str(error))

    async def _reconcile_once(self, leadership: Leadership) -> None:
        changes = MembershipChanges(self.core)
        if await self._reconcile_voters(leadership, changes):
            return
        # Voters come first, because a joining member that cannot be called costs a timeout.
        if self.join_requests:
            _, member = self.join_requests.popitem()
            await changes.add_learner(member)
            return
        unresponsive_learner = self._longest_unresponsive(
            leadership, voter=False, timeout_s=LEARNER_TIMEOUT_S
        )
        if unresponsive_learner is not None:
            log.info("learner removed", member=unresponsive_learner.record.member.member_id)
            await changes.remove(unresponsive_learner.record.member.member_id)

    async def _reconcile_voters(self, leadership: Leadership, changes: MembershipChanges) -> bool:
        """Promotes or demotes one member if needed; returns whether it has changed one."""
        voters = len(self.core.membership.voters())
        if voters > self.group_size:
            return await self._demote_surplus_voter(leadership, changes)
        unresponsive_voter = self._longest_unresponsive(
            leadership, voter=True, timeout_s=VOTER_TIMEOUT_S
        )
        successor = self._select_learner(leadership, unresponsive_voter)
        if successor is None:
            return False
        is_needed = voters < self.group_size or unresponsive_voter is not None
        if not is_needed and not self._improves_spread(successor):
            return False
        if not await self._replies_to_probe(successor):
            return False
        log.info(
            "learner promoted",
            member=successor.record.member.member_id,
            data_centre=successor.record.member.data_centre,
            voters=voters,
            lost=(
                unresponsive_voter.record.member.member_id if unresponsive_voter is not None else ""
            ),
        )
        await changes.promote(successor.record.member.member_id)
        return True

    async def _replies_to_probe(self, peer: PeerReplicator) -> bool:
        """Returns whether the peer answers a message that is sent after the call.

        Next to an unresponsive voter, promoting a learner that has just failed as well would leave
        no majority.
        """
        probe_start_s = self.core.now_s()
        deadline_s = probe_start_s + self.core.settings.store_timeout_s
        peer.wake.set()
        while peer.last_acked_send_s < probe_start_s and self.core.now_s() < deadline_s:
            await asyncio.sleep(REPLY_POLL_S)
        return peer.last_acked_send_s >= probe_start_s

    async def _demote_surplus_voter(
        self, leadership: Leadership, changes: MembershipChanges
    ) -> bool:
        """Demotes an unresponsive voter, or else one of the data centre with the most voters.

        Makes no change while a voter is late but has not yet reached `VOTER_TIMEOUT_S`; returns
        whether it has demoted one.
        """
        voter_counts = self._voters_by_data_centre()
        peers = [peer for peer in leadership.peers.values() if peer.record.voter]
        if not peers:
            return False
        surplus_voter = max(
            peers,
            key=lambda peer: (
                self._contact_age_s(leadership, peer) >= VOTER_TIMEOUT_S,
                voter_counts[peer.record.member.data_centre],
                self._contact_age_s(leadership, peer),
            ),
        )
        is_unresponsive = self._contact_age_s(leadership, surplus_voter) >= VOTER_TIMEOUT_S
        if not is_unresponsive and any(
            self.core.now_s() - voting_peer.last_acked_send_s >= RECENT_CONTACT_S
            for voting_peer in peers
        ):
            return False
        member = surplus_voter.record.member
        log.info("voter demoted", member=member.member_id, silence_s=surplus_voter.contact_age_s())
        await changes.demote(member.member_id)
        return True

    def _select_learner(
        self, leadership: Leadership, unresponsive_voter: PeerReplicator | None
    ) -> PeerReplicator | None:
        """Returns a learner that has caught up, from the data centre with the fewest voters."""
        voter_counts = self._voters_by_data_centre()
        if unresponsive_voter is not None:
            voter_counts[unresponsive_voter.record.member.data_centre] -= 1
        learners = [
            peer
            for peer in leadership.peers.values()
            if not peer.record.voter
            and peer.has_caught_up()
            and self._contact_age_s(leadership, peer) < RECENT_CONTACT_S
        ]
        return min(
            learners, key=lambda peer: voter_counts[peer.record.member.data_centre], default=None
        )

    def _improves_spread(self, learner: PeerReplicator) -> bool:
        """Returns whether the learner's data centre has at least two voters fewer than another."""
        voter_counts = self._voters_by_data_centre()
        return max(voter_counts.values()) - voter_counts[learner.record.member.data_centre] >= 2

    def _voters_by_data_centre(self) -> Counter[str]:
        return Counter(record.member.data_centre for record in self.core.membership.voters())

    def _longest_unresponsive(
        self, leadership: Leadership, voter: bool, timeout_s: float
    ) -> PeerReplicator | None:
        peers = [peer for peer in leadership.peers.values() if peer.record.voter == voter]
        least_recent = max(
            peers, key=lambda peer: self._contact_age_s(leadership, peer), default=None
        )
        if least_recent is None or self._contact_age_s(leadership, least_recent) < timeout_s:
            return None
        return least_recent

    def _contact_age_s(self, leadership: Leadership, peer: PeerReplicator) -> float:
        last_contact_s = (
            peer.last_acked_send_s if peer.last_acked_send_s > -math.inf else leadership.started_s
        )
        return self.core.now_s() - last_contact_s
