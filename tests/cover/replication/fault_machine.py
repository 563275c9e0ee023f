"""Random faults and membership changes of an operator against a group of real replicas."""

import asyncio

from hypothesis import strategies as st
from hypothesis.stateful import initialize, precondition, rule

from cover.replication.cluster import Cluster, Node
from cover.replication.process_faults import ANY, ProcessFaultMachine

MAX_MEMBERS = 5


class FaultMachine(ProcessFaultMachine):
    """`admin` is the membership change in progress; a disk is lost only when there is none.

    Only this keeps a majority that remembers every acknowledged command.
    """

    def __init__(self) -> None:
        super().__init__()
        self.admin: asyncio.Task[None] | None = None

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
        self.cluster.wait_leader()

    def admin_is_idle(self) -> bool:
        return self.admin is None or self.admin.done()

    @precondition(lambda self: self.admin_is_idle())
    @rule(who=ANY, bootstrap=st.booleans())
    def lose_disk(self, who: int, bootstrap: bool) -> None:
        name, _ = self.pick(who)
        self.group.lose_disk(name, bootstrap)
        self.admin = self.group.loop.create_task(self.group.repair(name))

    @precondition(lambda self: self.admin_is_idle() and len(self.group.nodes) < MAX_MEMBERS)
    @rule()
    def join(self) -> None:
        name = f"n{max(int(name[1:]) for name in self.group.nodes) + 1}"
        self.group.nodes[name] = Node(self.group, name, bootstrap=False)
        self.group.nodes[name].start(self.group)
        self.admin = self.group.loop.create_task(self.group.repair(name))

    @precondition(lambda self: self.admin_is_idle() and len(self.group.nodes) > 3)
    @rule(who=ANY)
    def leave(self, who: int) -> None:
        name, _ = self.pick(who)
        self.admin = self.group.loop.create_task(self.group.leave(name))

    def teardown(self) -> None:
        """After all faults have stopped the group must work again and agree."""
        if self.cluster is None:
            return
        self.end_faults()
        self.group.advance_until(self.admin_is_idle, 60.0)
        if self.admin is not None:
            self.admin.result()
        self.check_agreement()
