"""Tests of the formation of a group by initial members that hold replicas."""

import asyncio
import random

import pytest

from cicadatray.internal.bench.virtual_time_loop import run_virtual
from cicadatray.replication.errors import NoReplicaError
from cicadatray.replication.member import Member
from cicadatray.replication.message import ReplicaMessage
from cover.replication.fake_disk import FakeDisk
from cover.replication.local_group import LocalGroup

INITIAL_NAMES = ("a", "b", "c")
# Longer than formations, elections and the delay of a start.
LIMIT_S = 30.0
# Long enough for several attempts to form a group.
ATTEMPTS_S = 10.0


class PartlyReplicatedGroup(LocalGroup):
    """A group of which some initial members are processes without a replica."""

    def __init__(self, names: tuple[str, ...], without_replica: set[str]) -> None:
        super().__init__(names, group_size=len(names))
        self.without_replica = without_replica

    async def call(
        self, member: Member, message: ReplicaMessage, timeout_s: float
    ) -> ReplicaMessage:
        if member.member_id in self.without_replica:
            raise NoReplicaError(f"{member.member_id} holds no replica")
        return await super().call(member, message, timeout_s)

    async def start_first(self, name: str) -> None:
        await self.start(name, FakeDisk(random.Random(name)), bootstrap=True)


@pytest.mark.parametrize("without_replica", ["", "a", "b", "c", "ab", "ac", "bc"])
def test_group_forms_among_the_initial_members_that_hold_replicas(without_replica: str) -> None:
    """Guards against a deployment that never starts because a seed has no disk."""

    async def main() -> None:
        group = PartlyReplicatedGroup(INITIAL_NAMES, set(without_replica))
        names = [name for name in INITIAL_NAMES if name not in without_replica]
        for name in names:
            await group.start_first(name)
        async with asyncio.timeout(LIMIT_S):
            await group.wait_for_voters(set(names))
            await (await group.wait_for_leader()).propose(b"command", LIMIT_S)
        assert len({r.core.storage.state.group_id for r in group.replicas.values()}) == 1
        group.stop()

    run_virtual(main())


@pytest.mark.parametrize("late", INITIAL_NAMES)
def test_members_wait_for_an_initial_member_that_does_not_answer(late: str) -> None:
    """Guards against a second group of the members that started early."""

    async def main() -> None:
        group = PartlyReplicatedGroup(INITIAL_NAMES, set())
        early = [name for name in INITIAL_NAMES if name != late]
        for name in early:
            await group.start_first(name)
        await asyncio.sleep(ATTEMPTS_S)
        assert not any(r.core.storage.state.group_id for r in group.replicas.values())
        await group.start_first(late)
        async with asyncio.timeout(LIMIT_S):
            await group.wait_for_voters(set(INITIAL_NAMES))
        group.stop()

    run_virtual(main())
