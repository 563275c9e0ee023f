"""A replica on the shared log, with the methods that a control instance uses."""

import asyncio
from collections.abc import Callable
from typing import TypeVar

from cicadatray.internal.control.control_state import ControlState
from cicadatray.replication.errors import NotLeaderError, ProposalUnknownError
from cicadatray.replication.member import Member
from cover.control.gangs.shared_log import SharedLog

Result = TypeVar("Result")


class FakeReplica:
    """Stores the last `term` that this instance received, which may have ended."""

    __slots__ = ("applied", "log", "name", "state", "term")

    def __init__(self, log: SharedLog, name: str, state: ControlState) -> None:
        self.log = log
        self.name = name
        self.state = state
        self.term = 0
        self.applied = 0

    def catch_up(self) -> None:
        """Applies all committed commands and updates the term."""
        self.term = self.log.term
        while self.applied < len(self.log.commands):
            self.applied += 1
            self.state.apply(self.applied, self.log.commands[self.applied - 1])

    @property
    def applied_index(self) -> int:
        """The number of the last command that was applied."""
        return self.applied

    def find_member(self, member_id: str) -> Member | None:
        """Returns None: simulated links address instances by name."""
        return None

    def members(self) -> tuple[Member, ...]:
        """Returns no members, like `find_member`."""
        return ()

    async def propose(self, command: bytes, timeout_s: float) -> bytes:
        """Commits a command; it may be committed although the reply is lost.

        Raises:
            ProposalUnknownError: no reply in time.
        """
        term = self.term
        try:
            return await self._call_group(
                lambda reply: self._append(term, command, reply), timeout_s
            )
        except TimeoutError:
            raise ProposalUnknownError("no reply from the group") from None

    async def confirm_leadership(self, timeout_s: float) -> None:
        """Returns once the group confirms that this instance leads.

        Raises:
            NotLeaderError: another instance leads, or no reply in time.
        """
        term = self.term
        try:
            leads = await self._call_group(lambda reply: reply(self._leads(term)), timeout_s)
        except TimeoutError:
            leads = False
        if not leads:
            raise NotLeaderError(self.log.leader)

    def _append(self, term: int, command: bytes, reply: Callable[[bytes], None]) -> None:
        if self._leads(term):
            self.log.append(command, reply)

    def _leads(self, term: int) -> bool:
        return (self.log.leader, self.log.term) == (self.name, term)

    async def _call_group(
        self, action: Callable[[Callable[[Result], None]], None], timeout_s: float
    ) -> Result:
        """Calls the group, which carries out `action` and may reply later or never."""
        answer: asyncio.Future[Result] = asyncio.get_running_loop().create_future()

        def arrive() -> None:
            if self.name not in self.log.cut_members:
                action(lambda result: self.log.after_round_trip(lambda: reply(result)))

        def reply(result: Result) -> None:
            if self.name not in self.log.cut_members and not answer.done():
                answer.set_result(result)

        self.log.after_round_trip(arrive)
        return await asyncio.wait_for(answer, timeout_s)
