"""Formation of a new group by its initial members."""

import asyncio
from collections.abc import Sequence

import structlog

from cicadatray.replication.core import ReplicaCore
from cicadatray.replication.errors import ReplicaTransportError
from cicadatray.replication.member import Member
from cicadatray.replication.membership import MemberRecord, Membership
from cicadatray.replication.message import FormationReply, FormationRequest
from cicadatray.replication.storage import new_identity

log = structlog.get_logger(__name__)


class Formation:
    """Binds the identity of every initial member before anyone may vote.

    The member with the lowest name coordinates. It collects the identities of all initial members,
    lets all of them store the same proposal, and only then declares the group formed. A member that
    loses its disk later has another identity than the group's record, and because every other
    member holds that record, no majority can be reached with the member's empty log.
    """

    __slots__ = ("core",)

    def __init__(self, core: ReplicaCore) -> None:
        self.core = core

    async def run(self) -> None:
        """Coordinates until the group is formed or is known to exist without this data folder."""
        settings = self.core.settings
        if not self._is_willing():
            return
        initial_ids = [member.member_id for member in settings.initial_members]
        if settings.member_id != min(initial_ids, default=""):
            return
        others = [m for m in settings.initial_members if m.member_id != settings.member_id]
        while self._is_willing():
            if await self._try_to_form(others):
                return
            await asyncio.sleep(settings.heartbeat_s)

    def answer(self, request: FormationRequest) -> FormationReply:
        """Returns the identity and takes part in a proposal while no group is known."""
        own = request.membership.find(self.core.settings.member_id)
        is_bound = own is not None and own.identity == self.core.identity
        if request.group_id and is_bound and self._is_willing():
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
            is_willing=self._is_willing(),
            data_centre=self.core.settings.data_centre,
        )

    def adopt(self, group_id: str) -> None:
        """Joins the group of a request that was addressed to this data folder's identity."""
        state = self.core.storage.state
        is_pending = state.pending_group_id == group_id
        self.core.join_group(group_id, state.initial if is_pending else Membership())

    def _is_willing(self) -> bool:
        return self.core.settings.bootstrap and not self.core.storage.state.group_id

    async def _try_to_form(self, others: Sequence[Member]) -> bool:
        """Returns whether there is nothing left to do."""
        replies = await self._ask_all(others, self._request())
        if any(reply is not None and reply.group_id for reply in replies):
            log.error("a group exists that does not know this data folder; add it as a learner")
            return True
        known = [reply for reply in replies if reply is not None and reply.is_willing]
        if len(known) < len(others):
            return False
        identities = [self.core.identity] + [reply.identity for reply in known]
        own = self._in_data_centre(self._own_member(), self.core.settings.data_centre)
        members = [own] + [
            self._in_data_centre(member, reply.data_centre)
            for member, reply in zip(others, known, strict=True)
        ]
        membership = Membership(
            tuple(
                MemberRecord(member, identity, voter=True)
                for member, identity in zip(members, identities, strict=True)
            )
        )
        return await self._propose(others, new_identity(self.core.random), membership)

    async def _propose(
        self, others: Sequence[Member], group_id: str, membership: Membership
    ) -> bool:
        proposal = self._request(group_id, membership)
        replies = await self._ask_all(others, proposal)
        holders = [r for r in replies if r is not None and r.pending_group_id == group_id]
        if len(holders) < len(others) or not self._is_willing():
            return False
        self.core.join_group(group_id, membership)
        await self.core.storage.flush()
        complete = self._request(group_id, membership, is_complete=True)
        # A lost notice does no harm: any request of the group to a bound member repeats it.
        await self._ask_all(others, complete)
        return True

    def _in_data_centre(self, member: Member, data_centre: str) -> Member:
        return Member(member.member_id, member.host, member.port, data_centre)

    def _own_member(self) -> Member:
        members = self.core.settings.initial_members
        return next(m for m in members if m.member_id == self.core.settings.member_id)

    def _request(
        self, group_id: str = "", membership: Membership | None = None, is_complete: bool = False
    ) -> FormationRequest:
        return FormationRequest(
            identity=self.core.identity,
            term=self.core.term,
            group_id=group_id,
            membership=membership or Membership(),
            is_complete=is_complete,
        )

    async def _ask_all(
        self, members: Sequence[Member], request: FormationRequest
    ) -> list[FormationReply | None]:
        return await asyncio.gather(*(self._ask(member, request) for member in members))

    async def _ask(self, member: Member, request: FormationRequest) -> FormationReply | None:
        try:
            reply = await self.core.call_address(member, request)
        except ReplicaTransportError:
            return None
        return reply if isinstance(reply, FormationReply) else None
