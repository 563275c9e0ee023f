"""Membership changes, which the leader makes one at a time."""

import asyncio

from cicadatray.replication.core import ReplicaCore
from cicadatray.replication.errors import (
    MembershipChangeError,
    NotLeaderError,
    ReplicationError,
    ReplicaTransportError,
)
from cicadatray.replication.leadership import Leadership
from cicadatray.replication.log_entry import encode_membership
from cicadatray.replication.member import Member
from cicadatray.replication.membership import MemberRecord, Membership
from cicadatray.replication.message import FormationReply, FormationRequest
from cicadatray.replication.proposal import Proposal

CATCH_UP_POLL_S = 0.05


class MembershipChanges:
    """Changes the membership on the leader.

    Each change adds or removes at most one voter, so that the old and new majorities overlap.
    """

    __slots__ = ("core",)

    def __init__(self, core: ReplicaCore) -> None:
        self.core = core

    async def add_learner(self, member: Member) -> None:
        """Adds a member as a learner, with the identity and data centre that it reports.

        A record of the same member with another identity, whose disk was lost, is removed by the
        same change. A member whose identity is unchanged keeps its role and gets the new address.

        Raises:
            NotLeaderError: nothing was changed.
            MembershipChangeError: the change is not possible now, or its outcome is unknown.
        """
        self._require_leadership()
        reply = await self._fetch_identity(member)
        identity = reply.identity
        member = Member(member.member_id, member.host, member.port, reply.data_centre)
        existing_record = self.core.membership.find(member.member_id)
        is_voter = (
            existing_record is not None
            and existing_record.identity == identity
            and existing_record.voter
        )
        record = MemberRecord(member, identity, is_voter)
        if existing_record == record:
            return
        if (
            existing_record is not None
            and existing_record.identity == self.core.identity != identity
        ):
            raise MembershipChangeError(
                "the leader cannot replace itself; transfer leadership first"
            )
        await self._commit(self.core.membership.with_record(record))

    async def promote(self, member_id: str) -> None:
        """Promotes a learner once it holds every entry that was committed at the time of the call.

        Raises:
            NotLeaderError: nothing was changed.
            MembershipChangeError: the member is unknown or did not catch up in time, or the
                outcome of the change is unknown.
        """
        leadership = self._require_leadership()
        record = self._require_record(member_id)
        if record.voter:
            return
        await self._wait_for_catch_up(leadership, record)
        if self._require_record(member_id) != record:
            raise MembershipChangeError(f"{member_id} was changed while it caught up")
        promoted = MemberRecord(record.member, record.identity, True)
        await self._commit(self.core.membership.with_record(promoted))

    async def demote(self, member_id: str) -> None:
        """Demotes a voter to a learner, which keeps its log and can be promoted again.

        Raises:
            NotLeaderError: nothing was changed.
            MembershipChangeError: the member is unknown or the leader itself, or the outcome of
                the change is unknown.
        """
        record = self._require_other_member(member_id)
        await self._commit(
            self.core.membership.with_record(MemberRecord(record.member, record.identity, False))
        )

    async def remove(self, member_id: str) -> None:
        """Removes a voter or learner.

        Raises:
            NotLeaderError: nothing was changed.
            MembershipChangeError: the member is unknown or the leader itself, or the outcome of
                the change is unknown.
        """
        self._require_other_member(member_id)
        await self._commit(self.core.membership.without_member(member_id))

    def _require_leadership(self) -> Leadership:
        leadership = self.core.leadership
        if leadership is None or leadership.is_transferring:
            raise NotLeaderError(self.core.leader_id)
        return leadership

    def _require_other_member(self, member_id: str) -> MemberRecord:
        self._require_leadership()
        record = self._require_record(member_id)
        if record.identity == self.core.identity:
            raise MembershipChangeError(
                "the leader cannot demote or remove itself; transfer leadership first"
            )
        return record

    def _require_record(self, member_id: str) -> MemberRecord:
        record = self.core.membership.find(member_id)
        if record is None:
            raise MembershipChangeError(f"{member_id} is not a member")
        return record

    async def _fetch_identity(self, member: Member) -> FormationReply:
        request = FormationRequest(identity=self.core.identity, term=self.core.term)
        try:
            reply = await self.core.call_address(member, request)
        except ReplicaTransportError as error:
            raise MembershipChangeError(f"{member.member_id} cannot be reached: {error}") from error
        if not isinstance(reply, FormationReply):
            raise MembershipChangeError(f"{member.member_id} did not report its identity")
        if reply.group_id not in ("", self.core.storage.state.group_id):
            raise MembershipChangeError(f"{member.member_id} belongs to group {reply.group_id}")
        return reply

    async def _wait_for_catch_up(self, leadership: Leadership, record: MemberRecord) -> None:
        target_index = self.core.applier.commit_index
        deadline_s = self.core.now_s() + self.core.settings.membership_timeout_s
        while not leadership.is_closed:
            peer = leadership.peers.get(record.identity)
            if peer is not None and peer.match_index >= target_index:
                return
            if self.core.now_s() >= deadline_s:
                raise MembershipChangeError(f"{record.member.member_id} has not caught up")
            await asyncio.sleep(CATCH_UP_POLL_S)
        raise NotLeaderError(self.core.leader_id)

    async def _commit(self, membership: Membership) -> None:
        leadership = self._require_leadership()
        if self._is_change_in_progress(leadership):
            raise MembershipChangeError("another membership change is in progress")
        proposal = Proposal(encode_membership(membership), is_membership=True)
        leadership.enqueue(proposal)
        try:
            async with asyncio.timeout(self.core.settings.membership_timeout_s):
                await proposal.result
        except TimeoutError as error:
            raise MembershipChangeError("outcome unknown: not committed in time") from error
        except NotLeaderError:
            raise
        except ReplicationError as error:
            raise MembershipChangeError(f"outcome unknown: {error}") from error

    def _is_change_in_progress(self, leadership: Leadership) -> bool:
        """Returns whether a membership entry is queued or not yet committed.

        This includes the first entry of the term, which repeats the membership.
        """
        is_queued = any(proposal.is_membership for proposal in leadership.queue)
        return is_queued or self.core.history.last_index > self.core.applier.commit_index
