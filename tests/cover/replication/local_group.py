"""Real replicas in one process that call each other directly."""

import asyncio
import random

from cicadatray.replication.data_folder import DataFolder
from cicadatray.replication.errors import ReplicaStoppedError, ReplicaTransportError
from cicadatray.replication.member import Member
from cicadatray.replication.message import ReplicaMessage
from cicadatray.replication.replica import Replica
from cicadatray.replication.replica_settings import ReplicaSettings
from cicadatray.replication.role import Role

POLL_S = 0.02


class CommandList:
    """The replicated state: all commands."""

    def __init__(self) -> None:
        self.commands: list[bytes] = []

    def apply(self, index: int, command: bytes) -> bytes:
        self.commands.append(command)
        return command

    def snapshot(self) -> bytes:
        return b"\n".join(self.commands)

    def restore(self, snapshot: bytes) -> None:
        self.commands = snapshot.split(b"\n") if snapshot else []


class LocalGroup:
    """`replicas` are those that run, by name; a call to another one fails."""

    def __init__(self, names: tuple[str, ...], group_size: int) -> None:
        self.members = tuple(Member(name, "127.0.0.1", 1) for name in names)
        self.group_size = group_size
        self.replicas: dict[str, Replica] = {}
        self.states: dict[str, CommandList] = {}
        self.starts = 0

    async def call(
        self, member: Member, message: ReplicaMessage, timeout_s: float
    ) -> ReplicaMessage:
        """Passes a message on."""
        replica = self.replicas.get(member.member_id)
        if replica is None:
            raise ReplicaTransportError(f"{member.member_id} is not running")
        try:
            async with asyncio.timeout(timeout_s):
                return await replica.handle(message)
        except (TimeoutError, ReplicaStoppedError) as error:
            raise ReplicaTransportError(f"{member.member_id} did not answer") from error

    async def start(
        self, name: str, folder: DataFolder, bootstrap: bool, data_centre: str = ""
    ) -> None:
        """Starts a member on a data folder."""
        settings = ReplicaSettings(
            member_id=name,
            data_folder="",
            initial_members=self.members,
            bootstrap=bootstrap,
            group_size=self.group_size,
            data_centre=data_centre,
        )
        self.states[name] = CommandList()
        self.starts += 1
        # A new disk must draw another identity than the one before.
        source = random.Random(self.starts)
        replica = Replica(settings, self.states[name], self, folder, source)
        await replica.start()
        self.replicas[name] = replica

    def kill(self, name: str) -> None:
        """Ends a member without a word."""
        self.replicas.pop(name).abort()

    async def wait_for_leader(self) -> Replica:
        """Returns the leader once there is one."""
        while True:
            for replica in self.replicas.values():
                if replica.role is Role.LEADER:
                    return replica
            await asyncio.sleep(POLL_S)

    async def voters(self, expected: set[str]) -> None:
        """Returns once the leader's voters are those, each with its present disk."""
        while True:
            records = (await self.wait_for_leader()).core.membership.voters()
            identities = {record.member.member_id: record.identity for record in records}
            running = {name: r.core.identity for name, r in self.replicas.items()}
            if identities == {name: running.get(name) for name in expected}:
                return
            await asyncio.sleep(POLL_S)

    def stop(self) -> None:
        """Ends all members."""
        for name in list(self.replicas):
            self.kill(name)
