"""A group of real replicas on a fake network and fake disks, with checks of its invariants."""

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
# Longer than any operation of a leader that is not frozen.
OPERATOR_TIMEOUT_S = 10.0


class _RecordingStateMachine:
    """Records every applied command, so that lost and reordered commands are detected."""

    __slots__ = ("cluster", "commands", "index")

    def __init__(self, cluster: "Cluster") -> None:
        self.cluster = cluster
        self.commands: list[bytes] = []
        self.index = 0

    def apply(self, index: int, command: bytes) -> bytes:
        self.cluster.check(index > self.index, f"entry {index} applied after {self.index}")
        self.index = index
        self.commands.append(command)
        applied_commands = self.cluster.applied_commands
        if len(self.commands) > len(applied_commands):
            applied_commands.append(command)
        is_equal = applied_commands[len(self.commands) - 1] == command
        self.cluster.check(is_equal, f"members applied different commands at entry {index}")
        return str(len(self.commands)).encode()

    def snapshot(self) -> bytes:
        return msgspec.msgpack.encode((self.index, self.commands))

    def restore(self, snapshot: bytes) -> None:
        self.index, self.commands = msgspec.msgpack.decode(snapshot, type=tuple[int, list[bytes]])
        applied_commands = self.cluster.applied_commands[: len(self.commands)]
        self.cluster.check(
            self.commands == applied_commands, "snapshot differs from the applied commands"
        )


class Node:
    """One member: its process, disk and replica.

    `operations` are the calls of clients and operators that its process carries out; they end with
    the process.
    """

    __slots__ = (
        "disk",
        "is_running",
        "operations",
        "process",
        "replica",
        "settings",
        "state_machine",
        "transport",
    )

    def __init__(self, cluster: "Cluster", name: str, bootstrap: bool) -> None:
        self.settings = cluster.settings_of(name, bootstrap)
        self.disk = FakeDisk(cluster.random)
        self.is_running = False
        self.operations: set[asyncio.Task[Any]] = set()
        self.process = Process()
        self.state_machine = _RecordingStateMachine(cluster)
        self.transport = FakeTransport(cluster.network, name)
        self.replica = self._new_replica(cluster)

    def start(self, cluster: "Cluster") -> None:
        """Starts a new process on the disk; it may crash during the start."""
        self.process = Process()
        self.state_machine = _RecordingStateMachine(cluster)
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
        """Kills the process, which then no longer reaches the disk or the network."""
        self._end()
        for operation in self.operations:
            operation.cancel()
        self.process.thaw()
        if self.replica.core_or_none is not None:
            self.process.context.run(self.replica.abort)

    def _end(self) -> None:
        """Cuts the process off from its disk and the network."""
        self.is_running = False
        self.disk.is_dead = True
        self.transport.is_dead = True

    def _new_replica(self, cluster: "Cluster") -> Replica:
        source = random.Random(cluster.random.getrandbits(64))
        return Replica(self.settings, self.state_machine, self.transport, self.disk, source)


class Cluster:
    """Runs the replicas in virtual time and collects violations of their invariants.

    `applied_commands` is the longest sequence of commands that any member has applied.
    `acknowledged` maps each acknowledged command to its position in that sequence.
    """

    __slots__ = (
        "acknowledged",
        "applied_commands",
        "command_count",
        "initial_names",
        "loop",
        "network",
        "nodes",
        "random",
        "settings_overrides",
        "violations",
    )

    def __init__(self, seed: int, size: int = 3, **overrides: Any) -> None:
        self.random = random.Random(seed)
        self.loop = ProcessLoop()
        asyncio.set_event_loop(self.loop)
        self.settings_overrides = overrides
        self.violations: list[str] = []
        self.applied_commands: list[bytes] = []
        self.acknowledged: dict[bytes, int] = {}
        self.command_count = 0
        self.network = FakeNetwork(self, self.random)
        self.initial_names = [f"n{number}" for number in range(1, size + 1)]
        self.nodes = {name: Node(self, name, bootstrap=True) for name in self.initial_names}
        for node in self.nodes.values():
            node.start(self)

    def close(self) -> None:
        """Kills all processes and fails if any invariant was violated."""
        for node in self.nodes.values():
            node.kill()
        self.run(self._end_tasks())
        self.loop.close()
        asyncio.set_event_loop(None)
        assert not self.violations, self.violations

    async def _end_tasks(self) -> None:
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def settings_of(self, name: str, bootstrap: bool) -> ReplicaSettings:
        """Returns the settings of a member."""
        initial_members = tuple(self.member(other) for other in self.initial_names)
        return ReplicaSettings(
            member_id=name,
            data_folder="",
            bootstrap=bootstrap,
            initial_members=initial_members if bootstrap else (),
            **self.settings_overrides,
        )

    def member(self, name: str) -> Member:
        """Returns a member's address."""
        return Member(name, "127.0.0.1", int(name[1:]))

    def check(self, holds: bool, violation: str) -> None:
        """Records a violation unless `holds`; an exception would only end the current task."""
        if not holds:
            self.violations.append(violation)

    def run(self, coroutine: Coroutine[Any, Any, Result]) -> Result:
        """Runs the loop until a coroutine that belongs to no process has ended."""
        return self.loop.run_until_complete(coroutine)

    def advance(self, duration_s: float) -> None:
        """Runs the loop for some virtual time and checks the replicas."""
        self.run(asyncio.sleep(duration_s))
        for node in self.running():
            failure = node.replica.failure
            self.check(failure is None, f"replica failed: {failure!r}")
        assert not self.violations, self.violations

    def advance_under_load(
        self, duration_s: float, step_s: float = 0.05, without_proposals: tuple[Node, ...] = ()
    ) -> None:
        """Runs the loop while clients read from all members and propose to leaders.

        Members in `without_proposals` receive none, so that the others do not fall behind them.
        """
        end_s = self.loop.time() + duration_s
        while self.loop.time() < end_s:
            for node in self.running():
                self.spawn(node, self.read(node))
                if node.replica.role is Role.LEADER and node not in without_proposals:
                    self.spawn(node, self.propose(node))
            self.advance(step_s)

    def advance_until(self, condition: Callable[[], Any], limit_s: float = 30.0) -> None:
        """Runs the loop until a condition holds, and fails after `limit_s`."""
        end_s = self.loop.time() + limit_s
        while not condition():
            assert self.loop.time() < end_s, f"timed out after {limit_s} s: {self.describe()}"
            self.advance(0.05)

    def running(self) -> list[Node]:
        """Returns the members whose process is running and has loaded its disk."""
        nodes = self.nodes.values()
        return [node for node in nodes if node.is_running and node.replica.core_or_none]

    def leader(self) -> Node | None:
        """Returns the leader of the highest term among running members that are not frozen."""
        active = [node for node in self.running() if not node.process.is_frozen]
        leaders = [node for node in active if node.replica.role is Role.LEADER]
        return max(leaders, key=lambda node: node.replica.term, default=None)

    def wait_for_leader(self) -> Node:
        """Runs the loop until a member is the leader."""
        self.advance_until(self.leader)
        leader = self.leader()
        assert leader is not None
        return leader

    async def propose(self, node: Node, timeout_s: float = 2.0) -> bool:
        """Proposes a new command; returns whether it was acknowledged."""
        self.command_count += 1
        command = f"c{self.command_count}".encode()
        try:
            result = await node.replica.propose(command, timeout_s)
        except ReplicationError:
            return False
        self.check(
            self.applied_commands[int(result) - 1] == command, "result belongs to another command"
        )
        self.acknowledged[command] = int(result)
        return True

    async def read(self, node: Node, timeout_s: float = 2.0) -> bool:
        """Reads after confirming leadership; checks that earlier acknowledged commands are seen.

        Returns whether the read was answered.
        """
        expected = max(self.acknowledged.values(), default=0)
        state_machine = node.state_machine
        try:
            await node.replica.confirm_leadership(timeout_s)
        except ReplicationError:
            return False
        self.check(len(state_machine.commands) >= expected, "stale read")
        return True

    def isolate(self, name: str) -> None:
        """Blocks all links of a member in both directions."""
        for other in self.nodes:
            self.network.blocked_links |= {(name, other), (other, name)}

    def lose_disk(self, name: str, bootstrap: bool) -> None:
        """Replaces a member's disk with an empty one and restarts the member."""
        self.nodes[name].kill()
        self.nodes[name] = Node(self, name, bootstrap)
        self.nodes[name].start(self)

    async def change_membership(self, name: str, operation: str) -> bool:
        """Attempts a membership change on the leader; returns whether it was committed."""
        leader = self.leader()
        if leader is None:
            return False
        if operation == "add":
            return await self.carry_out(leader, leader.replica.add_learner(self.member(name)))
        if operation == "promote":
            return await self.carry_out(leader, leader.replica.promote(name))
        return await self.carry_out(leader, leader.replica.remove(name))

    async def carry_out(self, node: Node, operation: Coroutine[Any, Any, Any]) -> bool:
        """Carries out an operator's call in a member's process; returns whether it succeeded.

        The call fails when the process ends. The operator gives up after `OPERATOR_TIMEOUT_S`, but
        the call may still be carried out later.
        """
        task = self.spawn(node, operation)
        await asyncio.wait({task}, timeout=OPERATOR_TIMEOUT_S)
        if not task.done() or task.cancelled():
            return False
        error = task.exception()
        if error is not None and not isinstance(error, ReplicationError | DiskCrash):
            raise error
        return error is None

    async def add_and_promote(self, name: str) -> None:
        """Adds a member as a learner and promotes it, retrying until both succeed."""
        while not await self.change_membership(name, "add") or not await self.change_membership(
            name, "promote"
        ):
            await asyncio.sleep(0.5)

    async def remove_member(self, name: str) -> None:
        """Removes a member, after a leadership transfer if needed, then kills its process.

        Retries until the removal is committed.
        """
        while True:
            leader = self.leader()
            if leader is not None and leader.settings.member_id == name:
                await self.carry_out(leader, leader.replica.transfer_leadership())
            elif await self.change_membership(name, "remove") or self.is_removed(leader, name):
                break
            await asyncio.sleep(0.5)
        self.nodes[name].kill()
        del self.nodes[name]

    def is_removed(self, leader: Node | None, name: str) -> bool:
        """Returns whether the membership committed on the leader lacks the member."""
        # The leader may have been killed or restarted since; the caller then retries.
        if leader is None or leader.replica.core_or_none is None:
            return False
        history = leader.replica.core.history
        return history.at(leader.replica.commit_index).find(name) is None

    def spawn(self, node: Node, operation: Coroutine[Any, Any, Result]) -> asyncio.Task[Result]:
        """Runs a call of a client or operator in a member's process, which it does not outlive."""
        task = self.loop.create_task(operation, context=node.process.context)
        node.operations.add(task)
        task.add_done_callback(node.operations.discard)
        # A task that is cancelled before its first step would leave the coroutine unawaited.
        task.add_done_callback(lambda _: operation.close())
        return task

    def propose_until_acknowledged(self) -> None:
        """Proposes new commands until one is acknowledged."""

        def attempt() -> bool:
            leader = self.leader()
            return leader is not None and self.run(self.propose(leader))

        self.advance_until(attempt, 60.0)

    def describe(self) -> str:
        """Returns the state of all members for failure messages."""
        return "\n".join(
            str(node.replica.describe()) if node.is_running else f"{name} is down"
            for name, node in self.nodes.items()
        )
