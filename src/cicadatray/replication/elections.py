"""Campaigns of a voter that has not heard from a leader."""

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
    """One task that waits for the election timeout or for a leader that hands over."""

    __slots__ = ("core", "hand_over", "logged_answers")

    def __init__(self, core: ReplicaCore) -> None:
        self.core = core
        self.logged_answers: dict[str, str] = {}
        self.hand_over = asyncio.Event()

    async def run(self) -> None:
        """Campaigns whenever the election timeout has passed."""
        while True:
            await self._wait_until_due()
            is_hand_over = self.hand_over.is_set()
            self.hand_over.clear()
            self.core.reset_election_deadline()
            if self.core.role is Role.FOLLOWER:
                await self._campaign(is_hand_over)

    async def _wait_until_due(self) -> None:
        while not self.hand_over.is_set():
            if self.core.now_s() >= self.core.election_deadline_s:
                return
            try:
                async with asyncio.timeout_at(self.core.election_deadline_s):
                    await self.hand_over.wait()
            except TimeoutError:
                pass

    async def _campaign(self, is_hand_over: bool) -> None:
        term = self.core.term + 1
        if not is_hand_over:
            self.core.lifecycle.change("ask")
            is_electable = await self._collect(self._request(term, is_pre_vote=True))
            if self.core.role is not Role.PRE_CANDIDATE:
                return
            if not is_electable or self.core.term != term - 1:
                self.core.step_down(None, "no majority would vote for this member")
                return
        self.core.lifecycle.change("campaign")
        self.core.leader_id = None
        self.core.storage.state_file.save_vote(term, self.core.identity)
        await self.core.storage.flush()
        if self.core.role is not Role.CANDIDATE or self.core.term != term:
            return
        is_elected = await self._collect(self._request(term, is_hand_over=is_hand_over))
        if self.core.role is not Role.CANDIDATE or self.core.term != term:
            return
        if is_elected:
            self._lead()
        else:
            self.core.step_down(None, "election without a majority")

    def _lead(self) -> None:
        core = self.core
        self.logged_answers = {}
        log.info("leadership began", member=core.settings.member_id, term=core.term)
        core.lifecycle.change("lead")
        core.leader_id = core.settings.member_id
        core.leadership = Leadership(core)
        core.leadership.start()

    def _request(
        self, term: int, is_pre_vote: bool = False, is_hand_over: bool = False
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
            is_hand_over=is_hand_over,
        )

    async def _collect(self, request: VoteRequest) -> bool:
        """Returns whether a majority, with this member, grants the request."""
        membership = self.core.membership
        others = [r for r in membership.voters() if r.identity != self.core.identity]
        missing = membership.quorum() - 1
        answers: dict[str, str] = {}
        calls = {asyncio.create_task(self._ask(record, request, answers)) for record in others}
        try:
            while calls and missing > 0:
                done, calls = await asyncio.wait(calls, return_when=asyncio.FIRST_COMPLETED)
                missing -= sum(call.result() for call in done)
        finally:
            for call in calls:
                call.cancel()
        if missing > 0:
            self._log_missing_votes(request, missing, answers)
        return missing <= 0

    async def _ask(
        self, record: MemberRecord, request: VoteRequest, answers: dict[str, str]
    ) -> int:
        """Returns 1 when the member grants the request, otherwise 0; notes the answer."""
        member_id = record.member.member_id
        try:
            reply = await self.core.call(
                record, msgspec.structs.replace(request, target_identity=record.identity)
            )
        except ReplicaTransportError as error:
            answers[member_id] = f"unreachable: {error}"
            return 0
        except PeerRefusedError as error:
            answers[member_id] = f"refused: {error}"
            return 0
        is_granted = isinstance(reply, VoteReply) and reply.is_granted
        answers[member_id] = "granted" if is_granted else f"not granted in term {reply.term}"
        return int(is_granted)

    def _log_missing_votes(
        self, request: VoteRequest, missing: int, answers: dict[str, str]
    ) -> None:
        # A group without a majority campaigns about once a second for as long as the loss lasts.
        if answers == self.logged_answers:
            return
        self.logged_answers = answers
        log.info(
            "votes missing",
            member=self.core.settings.member_id,
            term=request.term,
            is_pre_vote=request.is_pre_vote,
            missing=missing,
            last_index=request.last_index,
            last_term=request.last_term,
            answers=answers,
        )
