"""Elections, which a voter starts when it has lost contact with the leader."""

import asyncio

import msgspec
import structlog

from cicadatray.replication.core import ReplicaCore
from cicadatray.replication.errors import PeerRefusedError, ReplicaTransportError
from cicadatray.replication.leadership import Leadership
from cicadatray.replication.membership import MemberRecord
from cicadatray.replication.message import VoteReply, VoteRequest
from cicadatray.replication.role import Role

log = structlog.get_logger(__name__)


class Elections:
    """Runs the task that campaigns after the election timeout or on a leadership transfer.

    `transfer_requested` is set when the leader asks this member to take over, in `transfer_term`.
    """

    __slots__ = ("core", "last_logged_replies", "transfer_requested", "transfer_term")

    def __init__(self, core: ReplicaCore) -> None:
        self.core = core
        self.last_logged_replies: dict[str, str] = {}
        self.transfer_requested = asyncio.Event()
        self.transfer_term = 0

    def request_transfer(self, term: int) -> None:
        """Makes this member campaign at once, unless another term begins before."""
        self.transfer_term = term
        self.transfer_requested.set()

    async def run(self) -> None:
        """Campaigns whenever the election timeout expires or the leader requests a transfer."""
        while True:
            await self._wait_until_campaign_due()
            # The vote for a transfer ignores leases, which only the leader that has asked for it
            # has given up.
            is_leadership_transfer = (
                self.transfer_requested.is_set() and self.transfer_term == self.core.term
            )
            is_due = self.core.now_s() >= self.core.election_deadline_s
            self.transfer_requested.clear()
            if not is_leadership_transfer and not is_due:
                continue
            self.core.reset_election_deadline()
            if self.core.role is Role.FOLLOWER:
                await self._campaign(is_leadership_transfer)

    async def _wait_until_campaign_due(self) -> None:
        while not self.transfer_requested.is_set():
            if self.core.now_s() >= self.core.election_deadline_s:
                return
            try:
                async with asyncio.timeout_at(self.core.election_deadline_s):
                    await self.transfer_requested.wait()
            except TimeoutError:
                pass

    async def _campaign(self, is_leadership_transfer: bool) -> None:
        term = self.core.term + 1
        if not is_leadership_transfer:
            self.core.lifecycle.change("start_pre_vote")
            is_electable = await self._collect_votes(self._vote_request(term, is_pre_vote=True))
            if self.core.role is not Role.PRE_CANDIDATE:
                return
            if not is_electable or self.core.term != term - 1:
                self.core.step_down(None, "pre-vote not granted by a majority")
                return
        self.core.lifecycle.change("campaign")
        self.core.leader_id = None
        self.core.storage.state_file.save_vote(term, self.core.identity)
        await self.core.storage.flush()
        if self.core.role is not Role.CANDIDATE or self.core.term != term:
            return
        is_elected = await self._collect_votes(
            self._vote_request(term, is_leadership_transfer=is_leadership_transfer)
        )
        if self.core.role is not Role.CANDIDATE or self.core.term != term:
            return
        if is_elected:
            self._become_leader()
        else:
            self.core.step_down(None, "election not won: no majority")

    def _become_leader(self) -> None:
        core = self.core
        self.last_logged_replies = {}
        log.info("leadership began", member=core.settings.member_id, term=core.term)
        core.lifecycle.change("lead")
        core.leader_id = core.settings.member_id
        core.leadership = Leadership(core)
        core.leadership.start()

    def _vote_request(
        self, term: int, is_pre_vote: bool = False, is_leadership_transfer: bool = False
    ) -> VoteRequest:
        return VoteRequest(
            identity=self.core.identity,
            term=term,
            group_id=self.core.storage.state.group_id,
            sender_id=self.core.settings.member_id,
            target_identity="",
            last_index=self.core.storage.log.last_index,
            last_term=self.core.storage.log.last_term,
            is_pre_vote=is_pre_vote,
            is_leadership_transfer=is_leadership_transfer,
        )

    async def _collect_votes(self, request: VoteRequest) -> bool:
        """Returns whether a majority grants the request, counting this member's own vote."""
        membership = self.core.membership
        other_voters = [
            voter for voter in membership.voters() if voter.identity != self.core.identity
        ]
        missing_votes = membership.quorum() - 1
        replies: dict[str, str] = {}
        calls = {
            asyncio.create_task(self._request_vote(record, request, replies))
            for record in other_voters
        }
        try:
            while calls and missing_votes > 0:
                done, calls = await asyncio.wait(calls, return_when=asyncio.FIRST_COMPLETED)
                missing_votes -= sum(call.result() for call in done)
        finally:
            for call in calls:
                call.cancel()
        if missing_votes > 0:
            self._log_missing_votes(request, missing_votes, replies)
        return missing_votes <= 0

    async def _request_vote(
        self, record: MemberRecord, request: VoteRequest, replies: dict[str, str]
    ) -> int:
        """Returns 1 when the member grants the request, otherwise 0; stores the reply as text."""
        member_id = record.member.member_id
        try:
            reply = await self.core.call(
                record, msgspec.structs.replace(request, target_identity=record.identity)
            )
        except ReplicaTransportError as error:
            replies[member_id] = f"unreachable: {error}"
            return 0
        except PeerRefusedError as error:
            replies[member_id] = f"refused: {error}"
            return 0
        is_granted = isinstance(reply, VoteReply) and reply.is_granted
        replies[member_id] = "granted" if is_granted else f"not granted in term {reply.term}"
        return int(is_granted)

    def _log_missing_votes(
        self, request: VoteRequest, missing_votes: int, replies: dict[str, str]
    ) -> None:
        # Without a majority, members campaign about once a second; log the same replies only once.
        if replies == self.last_logged_replies:
            return
        self.last_logged_replies = replies
        log.info(
            "votes missing",
            member=self.core.settings.member_id,
            term=request.term,
            is_pre_vote=request.is_pre_vote,
            missing=missing_votes,
            last_index=request.last_index,
            last_term=request.last_term,
            answers=replies,
        )
