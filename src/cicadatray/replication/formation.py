"""Formation of a new group by its initial members."""

import asyncio
from collections.abc import Sequence

import structlog

from cicadatray.replication.core import ReplicaCore
from cicadatray.replication.errors import NoReplicaError, ReplicaTransportError
from cicadatray.replication.member import Member
from cicadatray.replication.membership import MemberRecord, Membership
from cicadatray.replication.message import FormationReply, FormationRequest
from cicadatray.replication.storage import new_identity

log = structlog.get_logger(__name__)


class Formation:
    """Records the identity of every initial member before any member may vote.

    The member with the lowest name coordinates. It collects the identities of all initial members,
    has all of them store the same proposal, and only then completes the formation. A member that
    later loses its disk has a different identity from the one in the membership. Every other member
    stores that membership, so no majority can include the member's empty log.

    Initial members that answer that they hold no replica are left out, and never coordinate.
    """

    __slots__ = ("core", "ids_without_replica")

    def __init__(self, core: ReplicaCore) -> None:
        self.core = core
        self.ids_without_replica: set[str] = set()

    async def run(self) -> None:
        """Takes part until the group is formed or turns out to exist without this data folder."""
        settings = self.core.settings
        initial_ids = [member.member_id for member in settings.initial_members]
        if settings.member_id not in initial_ids:
            return
        if settings.member_id != min(initial_ids):
            # A coordinator that holds a replica usually forms the group within this time.
            await asyncio.sleep(settings.election_timeout_max_s)
        while self._can_form_group():
            others = self._other_members()
            lower_members = [m for m in others if m.member_id < settings.member_id]
            if lower_members:
                replies = await self._call_all(lower_members, self._formation_request())
                if any(reply is not None and reply.group_id for reply in replies):
                    return
            elif await self._try_to_form_group(others):
                return
            await asyncio.sleep(settings.heartbeat_s)

    def handle_request(self, request: FormationRequest) -> FormationReply:
        """Returns this member's identity; stores or completes a proposal while it has no group."""
        own_record = request.membership.find(self.core.settings.member_id)
        is_listed = own_record is not None and own_record.identity == self.core.identity
        if request.group_id and is_listed and self._can_form_group():
            if request.is_complete:
                self.core.join_group(request.group_id, request.membership)
            else:
                self.core.storage.state_file.update(
                    pending_group_id=request.group_id, initial=request.membership
                )
        state = self.core.storage.state
        return FormationReply(
            identity=state.identity,
            term=state.term,
            group_id=state.group_id,
            pending_group_id=state.pending_group_id,
            can_form_group=self._can_form_group(),
            data_centre=self.core.settings.data_centre,
        )

    def adopt_group(self, group_id: str) -> None:
        """Joins the group of a request that was addressed to this data folder's identity.

        The initial membership is empty unless this member has stored a proposal of that group.
        """
        state = self.core.storage.state
        is_pending = state.pending_group_id == group_id
        self.core.join_group(group_id, state.initial if is_pending else Membership())

    def _can_form_group(self) -> bool:
        return self.core.settings.bootstrap and not self.core.storage.state.group_id

    async def _try_to_form_group(self, other_members: Sequence[Member]) -> bool:
        """Returns whether formation is finished: the group was formed, or one already exists."""
        replies = await self._call_all(other_members, self._formation_request())
        if any(reply is not None and reply.group_id for reply in replies):
            log.error("group already exists without this data folder; add this member as a learner")
            return True
        available_replies = [
            reply for reply in replies if reply is not None and reply.can_form_group
        ]
        if len(available_replies) < len(other_members):
            return False
        identities = [self.core.identity] + [reply.identity for reply in available_replies]
        local_member = self._with_data_centre(self._local_member(), self.core.settings.data_centre)
        members = [local_member] + [
            self._with_data_centre(member, reply.data_centre)
            for member, reply in zip(other_members, available_replies, strict=True)
        ]
        membership = Membership(
            tuple(
                MemberRecord(member, identity, is_voter=True)
                for member, identity in zip(members, identities, strict=True)
            )
        )
        return await self._propose(other_members, new_identity(self.core.random), membership)

    async def _propose(
        self, other_members: Sequence[Member], group_id: str, membership: Membership
    ) -> bool:
        proposal = self._formation_request(group_id, membership)
        replies = await self._call_all(other_members, proposal)
        accepted_replies = [r for r in replies if r is not None and r.pending_group_id == group_id]
        if len(accepted_replies) < len(other_members) or not self._can_form_group():
            return False
        self.core.join_group(group_id, membership)
        await self.core.storage.flush()
        complete = self._formation_request(group_id, membership, is_complete=True)
        # A lost message does no harm: any later request of the group completes the formation.
        await self._call_all(other_members, complete)
        return True

    def _other_members(self) -> list[Member]:
        """Returns the other initial members that may hold a replica."""
        excluded_ids = {self.core.settings.member_id, *self.ids_without_replica}
        members = self.core.settings.initial_members
        return [member for member in members if member.member_id not in excluded_ids]

    def _with_data_centre(self, member: Member, data_centre: str) -> Member:
        return Member(member.member_id, member.host, member.port, data_centre)

    def _local_member(self) -> Member:
        members = self.core.settings.initial_members
        return next(m for m in members if m.member_id == self.core.settings.member_id)

    def _formation_request(
        self, group_id: str = "", membership: Membership | None = None, is_complete: bool = False
    ) -> FormationRequest:
        return FormationRequest(
            identity=self.core.identity,
            term=self.core.term,
            group_id=group_id,
            membership=membership or Membership(),
            is_complete=is_complete,
        )

    async def _call_all(
        self, members: Sequence[Member], request: FormationRequest
    ) -> list[FormationReply | None]:
        return await asyncio.gather(*(self._call(member, request) for member in members))

    async def _call(self, member: Member, request: FormationRequest) -> FormationReply | None:
        try:
            reply = await self.core.call_address(member, request)
        except NoReplicaError:
            if member.member_id not in self.ids_without_replica:
                log.info("initial member holds no replica", initial_member=member.member_id)
            self.ids_without_replica.add(member.member_id)
            return None
        except ReplicaTransportError:
            return None
        return reply if isinstance(reply, FormationReply) else None
