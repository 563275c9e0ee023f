"""A group of real replicas on a fake network and fake disks, and what must always hold."""

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

import msgspec

from cicadatray.replication.errors import ReplicationError
from cicadatray.replication.member import Member
from cicadatray.replication.replica import Replica
from cicadatray.replication.replica_settings import ReplicaSettings
from cicadatray.replication.role import Role
from cover.replication.fake_disk import DiskCrash, FakeDisk
from cover.replication.fake_network import FakeNetwork, FakeTransport
from cover.replication.process_loop import Process, ProcessLoop

Result = TypeVar("Result")


class _Machine:
    """Keeps every applied command, so that any lost or reordered one shows."""

    __slots__ = ("cluster", "commands", "index")

    def __init__(self, cluster: "Cluster") -> None:
        self.cluster = cluster
        self.commands: list[bytes] = []
        self.index = 0

    def apply(self, index: int, command: bytes) -> bytes:
        self.cluster.check(index > self.index, f"entry {index} applied after {self.index}")
        self.index = index
        self.commands.append(command)
        agreed = self.cluster.agreed
        if len(self.commands) > len(agreed):
            agreed.append(command)
        is_equal = agreed[len(self.commands) - 1] == command
        self.cluster.check(is_equal, f"members disagree at entry {index}")
        return str(len(self.commands)).encode()

    def snapshot(self) -> bytes:
        return msgspec.msgpack.encode((self.index, self.commands))

    def restore(self, snapshot: bytes) -> None:
        self.index, self.commands = msgspec.msgpack.decode(snapshot, type=tuple[int, list[bytes]])
        agreed = self.cluster.agreed[: len(self.commands)]
        self.cluster.check(self.commands == agreed, "a snapshot differs from what was applied")


class Node:
    """One member: its process, disk and replica."""

    __slots__ = ("disk", "is_running", "machine", "process", "replica", "settings", "transport")

    def __init__(self, cluster: "Cluster", name: str, bootstrap: bool) -> None:
        self.settings = cluster.settings_of(name, bootstrap)
        self.disk = FakeDisk(cluster.random)
        self.is_running = False
        self.process = Process()
        self.machine = _Machine(cluster)
        self.transport = FakeTransport(cluster.network, name)
        self.replica = self._new_replica(cluster)

    def start(self, cluster: "Cluster") -> None:
        """Starts a new process on the disk; it may crash again at once."""
        self.process = Process()
        self.machine = _Machine(cluster)
        self.transport = FakeTransport(cluster.network, self.settings.member_id)
        self.replica = self._new_replica(cluster)
        self.disk.on_crash = self._end
        self.is_running = True
        starting = self.replica.start()
        task = asyncio.get_event_loop().create_task(starting, context=self.process.context)
        try:
            asyncio.get_event_loop().run_until_complete(task)
        except DiskCrash:
            self.kill()

    def kill(self) -> None:
        """Ends the process; nothing of it reaches the disk or the network any more."""
        self._end()
        self.process.thaw()
        if self.replica.core_or_none is not None:
            self.process.context.run(self.replica.abort)

    def _end(self) -> None:
        self.is_running = False
        self.disk.is_dead = True
        self.transport.is_dead = True

    def _new_replica(self, cluster: "Cluster") -> Replica:
        source = random.Random(cluster.random.getrandbits(64))
        return Replica(self.settings, self.machine, self.transport, self.disk, source)


class Cluster:
    """`agreed` is the sequence of commands that any member has applied."""

    __slots__ = (
        "acknowledged",
        "agreed",
        "faults",
        "initial",
        "loop",
        "network",
        "next_command",
        "nodes",
        "operations",
        "overrides",
        "random",
    )

    def __init__(self, seed: int, size: int = 3, **overrides: Any) -> None:
        self.random = random.Random(seed)
        self.loop = ProcessLoop()
        asyncio.set_event_loop(self.loop)
        self.overrides = overrides
        self.faults: list[str] = []
        self.agreed: list[bytes] = []
        self.acknowledged: dict[bytes, int] = {}
        self.next_command = 0
        self.operations: set[asyncio.Task[bool]] = set()
        self.network = FakeNetwork(self, self.random)
        self.initial = [f"n{number}" for number in range(1, size + 1)]
        self.nodes = {name: Node(self, name, bootstrap=True) for name in self.initial}
        for node in self.nodes.values():
            node.start(self)

    def close(self) -> None:
        """Ends all processes and fails on anything that must never happen."""
        for node in self.nodes.values():
            node.kill()
        self.run(self._end_tasks())
        self.loop.close()
        asyncio.set_event_loop(None)
        assert not self.faults, self.faults

    async def _end_tasks(self) -> None:
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def settings_of(self, name: str, bootstrap: bool) -> ReplicaSettings:
        """Returns the settings of a member."""
        initial = tuple(self.member(other) for other in self.initial)
        return ReplicaSettings(
            member_id=name,
            data_folder="",
            bootstrap=bootstrap,
            initial_members=initial if bootstrap else (),
            **self.overrides,
        )

    def member(self, name: str) -> Member:
        """Returns a member's address."""
        return Member(name, "127.0.0.1", int(name[1:]))

    def check(self, holds: bool, fault: str) -> None:
        """Notes a violation; raising here would end only the task that noticed it."""
        if not holds:
            self.faults.append(fault)

    def run(self, coroutine: Coroutine[Any, Any, Result]) -> Result:
        """Runs everything until a coroutine outside of all processes ends."""
        return self.loop.run_until_complete(coroutine)

    def advance(self, duration_s: float) -> None:
        """Lets everything run for some time."""
        self.run(asyncio.sleep(duration_s))
        for node in self.running():
            failure = node.replica.failure
            self.check(failure is None, f"replica failed: {failure!r}")
        assert not self.faults, self.faults

    def advance_busily(
        self, duration_s: float, step_s: float = 0.05, silent: tuple[Node, ...] = ()
    ) -> None:
        """Lets everything run while clients read everywhere and leaders get proposals.

        The `silent` members get none, so that the others do not fall behind them.
        """
        end_s = self.loop.time() + duration_s
        while self.loop.time() < end_s:
            for node in self.running():
                self.spawn(node, self.read(node))
                if node.replica.role is Role.LEADER and node not in silent:
                    self.spawn(node, self.propose(node))
            self.advance(step_s)

    def advance_until(self, condition: Callable[[], Any], limit_s: float = 30.0) -> None:
        """Lets everything run until a condition holds."""
        end_s = self.loop.time() + limit_s
        while not condition():
            assert self.loop.time() < end_s, f"not reached in {limit_s} s: {self.describe()}"
            self.advance(0.05)

    def running(self) -> list[Node]:
        """Returns the members whose process runs and has loaded its disk."""
        nodes = self.nodes.values()
        return [node for node in nodes if node.is_running and node.replica.core_or_none]

    def leader(self) -> Node | None:
        """Returns the leader of the highest term among the members that run and are not frozen."""
        active = [node for node in self.running() if not node.process.is_frozen]
        leaders = [node for node in active if node.replica.role is Role.LEADER]
        return max(leaders, key=lambda node: node.replica.term, default=None)

    def wait_leader(self) -> Node:
        """Lets everything run until some member leads."""
        self.advance_until(self.leader)
        leader = self.leader()
        assert leader is not None
        return leader

    async def propose(self, node: Node, timeout_s: float = 2.0) -> bool:
        """Proposes a new command; returns whether it was acknowledged."""
        self.next_command += 1
        command = f"c{self.next_command}".encode()
        try:
            result = await node.replica.propose(command, timeout_s)
        except ReplicationError:
            return False
        self.check(self.agreed[int(result) - 1] == command, "result of another command")
        self.acknowledged[command] = int(result)
        return True

    async def read(self, node: Node, timeout_s: float = 2.0) -> bool:
        """Reads with a barrier; the state must hold all that was acknowledged before the call."""
        expected = max(self.acknowledged.values(), default=0)
        machine = node.machine
        try:
            await node.replica.confirm_leadership(timeout_s)
        except ReplicationError:
            return False
        self.check(len(machine.commands) >= expected, "stale read")
        return True

    def cut_off(self, name: str) -> None:
        """Isolates a member in both directions."""
        for other in self.nodes:
            self.network.cuts |= {(name, other), (other, name)}

    def lose_disk(self, name: str, bootstrap: bool) -> None:
        """Replaces a member's disk by an empty one and starts it again."""
        self.nodes[name].kill()
        self.nodes[name] = Node(self, name, bootstrap)
        self.nodes[name].start(self)

    async def change(self, name: str, change: str) -> bool:
        """Tries a membership change on the leader; returns whether it was committed."""
        leader = self.leader()
        if leader is None:
            return False
        try:
            if change == "add":
                await leader.replica.add_learner(self.member(name))
            elif change == "promote":
                await leader.replica.promote(name)
            else:
                await leader.replica.remove(name)
        except ReplicationError:
            return False
        return True

    async def repair(self, name: str) -> None:
        """Adds a member as a learner and promotes it, as often as it takes."""
        while not await self.change(name, "add") or not await self.change(name, "promote"):
            await asyncio.sleep(0.5)

    async def leave(self, name: str) -> None:
        """Removes a member that does not lead, as often as it takes, then ends its process."""
        while True:
            leader = self.leader()
            if leader is not None and leader.settings.member_id == name:
                await leader.replica.transfer_leadership()
            elif await self.change(name, "remove") or self.has_left(leader, name):
                break
            await asyncio.sleep(0.5)
        self.nodes[name].kill()
        del self.nodes[name]

    def has_left(self, leader: Node | None, name: str) -> bool:
        """Returns whether the leader knows of a committed membership without the member."""
        # The leader may have been killed or restarted since; then another round decides.
        if leader is None or leader.replica.core_or_none is None:
            return False
        history = leader.replica.core.history
        return history.at(leader.replica.commit_index).find(name) is None

    def spawn(self, node: Node, operation: Coroutine[Any, Any, bool]) -> None:
        """Runs an operation of a client inside a member's process, so that freezes delay it."""
        task = self.loop.create_task(operation, context=node.process.context)
        self.operations.add(task)
        task.add_done_callback(self.operations.discard)

    def propose_until_done(self) -> None:
        """Proposes one command again and again until it is acknowledged."""

        def attempt() -> bool:
            leader = self.leader()
            return leader is not None and self.run(self.propose(leader))

        self.advance_until(attempt, 60.0)

    def describe(self) -> str:
        """Returns the state of all members for a failure message."""
        return "\n".join(
            str(node.replica.describe()) if node.is_running else f"{name} is down"
            for name, node in self.nodes.items()
        )
