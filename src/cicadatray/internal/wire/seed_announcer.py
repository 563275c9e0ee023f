"""Announces the members of the control group to seeds that are no members."""

import asyncio
from collections.abc import Callable

from cicadatray.internal.observability.repeated_event import RepeatedEvent
from cicadatray.internal.settings.common import ControlMember
from cicadatray.internal.wire.control_client import ControlClient
from cicadatray.internal.wire.errors import WireError
from cicadatray.internal.wire.messages.graph_messages import AnnounceMembers, MemberAddress

# A restarted process finds the leader at most this much later than the seeds of its settings run.
ANNOUNCEMENT_INTERVAL_S = 0.5
ANNOUNCEMENT_TIMEOUT_S = 0.4

MemberSource = Callable[[], tuple[MemberAddress, ...]]


class SeedAnnouncer:
    """Tells the members of the group to each seed that is not one of them.

    Seeds may be control instances without a replica. These learn of the group from nobody else once
    all processes that knew it have been restarted. `stored_members` returns the members that this
    process has on its disk, which it knows before it has found a leader.
    """

    __slots__ = ("control", "failures", "own_name", "seeds", "stored_members")

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

    async def run(self) -> None:
        """Announces the members until cancelled."""
        while True:
            await self.announce()
            await asyncio.sleep(ANNOUNCEMENT_INTERVAL_S)

    async def announce(self) -> None:
        """Calls each seed that is not a member once."""
        members = self.control.group or self.stored_members()
        if not members:
            return
        names = {self.own_name, *(member.name for member in members)}
        seeds = [seed for seed in self.seeds if seed.name not in names]
        await asyncio.gather(*(self._announce_to(seed, members) for seed in seeds))

    async def _announce_to(self, seed: ControlMember, members: tuple[MemberAddress, ...]) -> None:
        failure = self.failures.setdefault(seed.name, RepeatedEvent("seed not informed"))
        self.control.set_member_address(seed.name, seed.host, seed.port)
        try:
            await self.control.call_member(
                seed.name, AnnounceMembers(members=members), ANNOUNCEMENT_TIMEOUT_S
            )
        except WireError as error:
            failure.record_failure(type(error).__name__, seed=seed.name, reason=str(error))
            return
        failure.record_end()
