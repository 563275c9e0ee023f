"""Embeds `cicadatray.replication`: three members in one process replicate a counter.

A real program runs one member in each process, on a disk of its own, and its transport sends
`encode_replica_message(message)` over its network to `Replica.handle` of the other member.
"""

import asyncio
import sys
import tempfile
from pathlib import Path

from cicadatray.replication.errors import ReplicaStoppedError, ReplicaTransportError
from cicadatray.replication.member import Member
from cicadatray.replication.message import ReplicaMessage
from cicadatray.replication.replica import Replica
from cicadatray.replication.replica_settings import ReplicaSettings
from cicadatray.replication.role import Role

MEMBERS = tuple(Member(f"m{number}", "127.0.0.1", 7400 + number) for number in range(3))
POLL_S = 0.05
PROPOSE_TIMEOUT_S = 5.0


class CounterMachine:
    """The replicated state: a sum. Every member applies the same commands in the same order."""

    __slots__ = ("total",)

    def __init__(self) -> None:
        self.total = 0

    def apply(self, index: int, command: bytes) -> bytes:
        """Adds a number and returns the new sum."""
        self.total += int(command)
        return str(self.total).encode()

    def snapshot(self) -> bytes:
        """Returns the sum."""
        return str(self.total).encode()

    def restore(self, snapshot: bytes) -> None:
        """Replaces the sum."""
        self.total = int(snapshot)


class LocalTransport:
    """Passes messages directly to the other members of this process."""

    __slots__ = ("replicas",)

    def __init__(self) -> None:
        self.replicas: dict[str, Replica] = {}

    async def call(
        self, member: Member, message: ReplicaMessage, timeout_s: float
    ) -> ReplicaMessage:
        """Returns the other member's reply."""
        replica = self.replicas.get(member.member_id)
        if replica is None:
            raise ReplicaTransportError(f"{member.member_id} is not running")
        try:
            async with asyncio.timeout(timeout_s):
                return await replica.handle(message)
        except (TimeoutError, ReplicaStoppedError) as error:
            raise ReplicaTransportError(f"{member.member_id} did not answer") from error


async def wait_for_leader(replicas: list[Replica]) -> Replica:
    """Returns the leader once there is one."""
    while True:
        for replica in replicas:
            if replica.role is Role.LEADER:
                return replica
        await asyncio.sleep(POLL_S)


async def replicate(folder: Path, writes_in_thread: bool = True) -> list[int]:
    """Forms a group, proposes three numbers and returns the members' sums.

    A simulated clock does not see threads, so on one the members write on the event loop.
    """
    transport = LocalTransport()
    machines = [CounterMachine() for _ in MEMBERS]
    for member, machine in zip(MEMBERS, machines, strict=True):
        settings = ReplicaSettings(
            member_id=member.member_id,
            data_folder=str(folder / member.member_id),
            initial_members=MEMBERS,
            bootstrap=True,
            writes_in_thread=writes_in_thread,
        )
        transport.replicas[member.member_id] = Replica(settings, machine, transport)
    replicas = list(transport.replicas.values())
    for replica in replicas:
        await replica.start()
    leader = await wait_for_leader(replicas)
    for number in (1, 2, 3):
        result = await leader.propose(str(number).encode(), PROPOSE_TIMEOUT_S)
        print(f"added {number}, the sum is {result.decode()}")
    while any(replica.applied_index < leader.applied_index for replica in replicas):
        await asyncio.sleep(POLL_S)
    for replica in replicas:
        await replica.stop()
    return [machine.total for machine in machines]


def main() -> None:
    """Uses the folder of the first argument, or a temporary one."""
    if len(sys.argv) > 1:
        totals = asyncio.run(replicate(Path(sys.argv[1])))
    else:
        with tempfile.TemporaryDirectory() as folder:
            totals = asyncio.run(replicate(Path(folder)))
    print(f"sums of the members: {totals}")


if __name__ == "__main__":
    main()
