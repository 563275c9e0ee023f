"""A group of real replicas in one process, which call each other directly."""

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
    """A replicated state machine that stores all commands."""

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
    """A group of replicas that also serves as their transport.

    `replicas` holds the running replicas by name; calls to other members fail.
    """

    def __init__(self, names: tuple[str, ...], group_size: int) -> None:
        self.members = tuple(Member(name, "127.0.0.1", 1) for name in names)
        self.group_size = group_size
        self.replicas: dict[str, Replica] = {}
        self.states: dict[str, CommandList] = {}
        self.start_count = 0

    async def call(
        self, member: Member, message: ReplicaMessage, timeout_s: float
    ) -> ReplicaMessage:
        """Delivers a message to a running replica and returns its reply."""
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
        self.start_count += 1
        # A new disk must get a different identity from the previous one.
        random_source = random.Random(self.start_count)
        replica = Replica(settings, self.states[name], self, folder, random_source)
        await replica.start()
        self.replicas[name] = replica

    def kill(self, name: str) -> None:
        """Stops a member abruptly, without a leadership transfer."""
        self.replicas.pop(name).abort()

    async def wait_for_leader(self) -> Replica:
        """Waits until a member is the leader and returns it."""
        while True:
            for replica in self.replicas.values():
                if replica.role is Role.LEADER:
                    return replica
            await asyncio.sleep(POLL_S)

    async def wait_for_voters(self, expected: set[str]) -> None:
        """Waits until the leader's voters are the expected ones, each with its current disk."""
        while True:
            records = (await self.wait_for_leader()).core.membership.voters()
            identities = {record.member.member_id: record.identity for record in records}
            running = {name: r.core.identity for name, r in self.replicas.items()}
            if identities == {name: running.get(name) for name in expected}:
                return
            await asyncio.sleep(POLL_S)

    def stop(self) -> None:
        """Stops all members."""
        for name in list(self.replicas):
            self.kill(name)
