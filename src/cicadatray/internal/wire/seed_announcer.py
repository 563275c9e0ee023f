"""Announces the members of the control group to instances that other processes know as seeds."""

import asyncio
import math
from collections.abc import Callable

from cicadatray.internal.observability.repeated_event import RepeatedEvent
from cicadatray.internal.settings.common import ControlMember
from cicadatray.internal.wire.control_client import ControlClient
from cicadatray.internal.wire.errors import WireError
from cicadatray.internal.wire.messages.directory_messages import Acknowledged
from cicadatray.internal.wire.messages.graph_messages import AnnounceMembers, MemberAddress
from cicadatray.internal.wire.rpc_client import RpcClient

# A restarted process finds the leader at most this much later than the seeds of its settings run.
ANNOUNCEMENT_INTERVAL_S = 0.5
ANNOUNCEMENT_TIMEOUT_S = 0.4
# A seed that has taken the members is told again only after this time, unless the connection to it
# has been lost: every process that knows the group calls it, and a call takes 0.3 ms of CPU time.
REPETITION_INTERVAL_S = 2.5

AddressSource = Callable[[], tuple[MemberAddress, ...]]


class SeedAnnouncer:
    """Tells the members of the group to each seed that is not one of them, and to the members.

    Seeds may be control instances without a replica. These learn of the group from nobody else once
    all processes that knew it have been restarted. Neither does a member that has lost its disk: it
    refuses the messages of the group, and its seeds may be gone. `stored_members` returns the
    members that this process has on its disk, which it knows before it has found a leader; only a
    process with a disk tells other members. `stored_seeds` returns the
    instances without a replica that it has recorded: the seeds of other processes may differ from
    its own. `taken` holds, for each seed, the members that it has taken last and the time of that.

    The clients are not those of `control`, because a search for the leader must not wait for a
    recorded instance that is gone.
    """

    __slots__ = (
        "clients",
        "control",
        "failures",
        "own_name",
        "seeds",
        "stored_members",
        "stored_seeds",
        "taken",
    )

    def __init__(
        self,
        control: ControlClient,
        own_name: str,
        seeds: tuple[ControlMember, ...],
        stored_members: AddressSource = tuple,
        stored_seeds: AddressSource = tuple,
    ) -> None:
        self.clients: dict[ControlMember, RpcClient] = {}
        self.control = control
        self.own_name = own_name
        self.seeds = seeds
        self.stored_members = stored_members
        self.stored_seeds = stored_seeds
        self.failures: dict[str, RepeatedEvent] = {}
        self.taken: dict[str, tuple[tuple[MemberAddress, ...], float]] = {}

    async def run(self) -> None:
        """Announces the members until cancelled."""
        try:
            while True:
                await self.announce()
                await asyncio.sleep(ANNOUNCEMENT_INTERVAL_S)
        finally:
            self._release_clients(set())

    async def announce(self) -> None:
        """Calls each of those that may not know the group, unless it was told a short time ago."""
        stored = self.stored_members()
        members = self.control.group or stored
        if not members:
            return
        names = {self.own_name, *(member.name for member in members)}
        targets = [seed for seed in self._known_seeds() if seed.name not in names]
        if stored:
            targets += [_seed_of(member) for member in members if member.name != self.own_name]
        self._release_clients(set(targets))
        due = [target for target in targets if not self._has_taken(target, members)]
        await asyncio.gather(*(self._announce_to(seed, members) for seed in due))

    def _known_seeds(self) -> list[ControlMember]:
        return list(dict.fromkeys((*self.seeds, *map(_seed_of, self.stored_seeds()))))

    def _release_clients(self, kept: set[ControlMember]) -> None:
        for seed in [seed for seed in self.clients if seed not in kept]:
            self.clients.pop(seed).release()

    def _client(self, seed: ControlMember) -> RpcClient:
        if seed not in self.clients:
            self.clients[seed] = self.control.make_client(seed.host, seed.port)
        return self.clients[seed]

    def _has_taken(self, seed: ControlMember, members: tuple[MemberAddress, ...]) -> bool:
        taken_members, taken_s = self.taken.get(seed.name, ((), -math.inf))
        return (
            taken_members == members
            and asyncio.get_running_loop().time() - taken_s < REPETITION_INTERVAL_S
            and self._client(seed).is_connected
        )

    async def _announce_to(self, seed: ControlMember, members: tuple[MemberAddress, ...]) -> None:
        failure = self.failures.setdefault(seed.name, RepeatedEvent("seed not informed"))
        try:
            reply = await self._client(seed).call(
                AnnounceMembers(members=members), ANNOUNCEMENT_TIMEOUT_S
            )
        except WireError as error:
            failure.record_failure(type(error).__name__, seed=seed.name, reason=str(error))
            return
        if not isinstance(reply, Acknowledged):
            failure.record_failure(type(reply).__name__, seed=seed.name, reason=str(reply))
            return
        failure.record_end()
        self.taken[seed.name] = (members, asyncio.get_running_loop().time())


def _seed_of(address: MemberAddress) -> ControlMember:
    return ControlMember(address.name, address.host, address.port)
