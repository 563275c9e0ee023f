"""Random faults and membership changes by an operator in a group of real replicas."""

import asyncio

from hypothesis import strategies as st
from hypothesis.stateful import initialize, precondition, rule

from cover.replication.cluster import Cluster, Node
from cover.replication.process_faults import ANY, ProcessFaultMachine

MAX_MEMBERS = 5


class FaultMachine(ProcessFaultMachine):
    """Adds disk losses and membership changes to the faults of processes.

    `membership_task` is the membership change in progress. A disk is lost only when there is none,
    because otherwise no majority might hold every acknowledged command.
    """

    def __init__(self) -> None:
        super().__init__()
        self.membership_task: asyncio.Task[None] | None = None

    @initialize(seed=st.integers(0, 2**32), size=st.sampled_from((3, 3, 4, 5)))
    def form(self, seed: int, size: int) -> None:
        self.cluster = Cluster(
            seed,
            size,
            snapshot_entries=8,
            retained_entries=2,
            snapshot_chunk_bytes=64,
            segment_bytes=256,
            append_batch_bytes=1,
            membership_timeout_s=2.0,
        )
        self.cluster.wait_for_leader()

    def is_membership_idle(self) -> bool:
        return self.membership_task is None or self.membership_task.done()

    @precondition(lambda self: self.is_membership_idle())
    @rule(who=ANY, bootstrap=st.booleans())
    def lose_disk(self, who: int, bootstrap: bool) -> None:
        name, _ = self.pick(who)
        self.group.lose_disk(name, bootstrap)
        self.membership_task = self.group.loop.create_task(self.group.add_and_promote(name))

    @precondition(lambda self: self.is_membership_idle() and len(self.group.nodes) < MAX_MEMBERS)
    @rule()
    def join(self) -> None:
        name = f"n{max(int(name[1:]) for name in self.group.nodes) + 1}"
        self.group.nodes[name] = Node(self.group, name, bootstrap=False)
        self.group.nodes[name].start(self.group)
        self.membership_task = self.group.loop.create_task(self.group.add_and_promote(name))

    @precondition(lambda self: self.is_membership_idle() and len(self.group.nodes) > 3)
    @rule(who=ANY)
    def leave(self, who: int) -> None:
        name, _ = self.pick(who)
        self.membership_task = self.group.loop.create_task(self.group.remove_member(name))

    def teardown(self) -> None:
        """Ends all faults, then checks that the group works again and its members agree."""
        if self.cluster is None:
            return
        self.end_faults()
        self.group.advance_until(self.is_membership_idle, 60.0)
        if self.membership_task is not None:
            self.membership_task.result()
        self.check_agreement()
