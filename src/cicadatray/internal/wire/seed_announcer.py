"""Announces the members of the control group to seeds that are no members."""

import asyncio
import math
from collections.abc import Callable

from cicadatray.internal.observability.repeated_event import RepeatedEvent
from cicadatray.internal.settings.common import ControlMember
from cicadatray.internal.wire.control_client import ControlClient
from cicadatray.internal.wire.errors import WireError
from cicadatray.internal.wire.messages.directory_messages import Acknowledged
from cicadatray.internal.wire.messages.graph_messages import AnnounceMembers, MemberAddress

# A restarted process finds the leader at most this much later than the seeds of its settings run.
ANNOUNCEMENT_INTERVAL_S = 0.5
ANNOUNCEMENT_TIMEOUT_S = 0.4
# A seed that has taken the members is told again only after this time, unless the connection to it
# has been lost: every process that knows the group calls it, and a call takes 0.3 ms of CPU time.
REPETITION_INTERVAL_S = 2.5

MemberSource = Callable[[], tuple[MemberAddress, ...]]


class SeedAnnouncer:
    """Tells the members of the group to each seed that is not one of them.

    Seeds may be control instances without a replica. These learn of the group from nobody else once
    all processes that knew it have been restarted. `stored_members` returns the members that this
    process has on its disk, which it knows before it has found a leader. `taken` holds, for each
    seed, the members that it has taken last and the time of that.
    """

    __slots__ = ("control", "failures", "own_name", "seeds", "stored_members", "taken")

    def __init__(
        self,
        control: ControlClient,
        own_name: str,
        seeds: tuple[ControlMember, ...],
        stored_members: MemberSource = tuple,
    ) -> None:
        self.control = control
        self.own_name = own_name
        self.seeds = seeds
        self.stored_members = stored_members
        self.failures: dict[str, RepeatedEvent] = {}
        self.taken: dict[str, tuple[tuple[MemberAddress, ...], float]] = {}

    async def run(self) -> None:
        """Announces the members until cancelled."""
        while True:
            await self.announce()
            await asyncio.sleep(ANNOUNCEMENT_INTERVAL_S)

    async def announce(self) -> None:
        """Calls each seed that is not a member, unless it was told the same a short time ago."""
        members = self.control.group or self.stored_members()
        if not members:
            return
        names = {self.own_name, *(member.name for member in members)}
        seeds = [
            seed
            for seed in self.seeds
            if seed.name not in names and not self._has_taken(seed, members)
        ]
        await asyncio.gather(*(self._announce_to(seed, members) for seed in seeds))

    def _has_taken(self, seed: ControlMember, members: tuple[MemberAddress, ...]) -> bool:
        taken_members, taken_s = self.taken.get(seed.name, ((), -math.inf))
        return (
            taken_members == members
            and asyncio.get_running_loop().time() - taken_s < REPETITION_INTERVAL_S
            and self.control.is_connected_to(seed.name)
        )

    async def _announce_to(self, seed: ControlMember, members: tuple[MemberAddress, ...]) -> None:
        failure = self.failures.setdefault(seed.name, RepeatedEvent("seed not informed"))
        self.control.set_member_address(seed.name, seed.host, seed.port)
        try:
            reply = await self.control.call_member(
                seed.name, AnnounceMembers(members=members), ANNOUNCEMENT_TIMEOUT_S
            )
        except WireError as error:
            failure.record_failure(type(error).__name__, seed=seed.name, reason=str(error))
            return
        if not isinstance(reply, Acknowledged):
            failure.record_failure(type(reply).__name__, seed=seed.name, reason=str(reply))
            return
        failure.record_end()
        self.taken[seed.name] = (members, asyncio.get_running_loop().time())
