"""As many disks lost at one moment as a group promises to bear, under random other faults."""

import asyncio

from hypothesis import strategies as st
from hypothesis.stateful import initialize, rule

from cicadatray.replication.errors import ReplicationError
from cover.replication.cluster import Cluster, Node
from cover.replication.process_faults import ANY, ProcessFaultMachine

JOIN_SILENCE_S = 1.5
JOIN_INTERVAL_S = 0.4
# Several replacements one after the other, each with its election.
WHOLE_LIMIT_S = 120.0
LOSSES = st.sampled_from((1, 2, 2))
# Six seconds: longer than the silence after which a voter is taken for lost.
CHANGE_POLLS = 300
CHANGE_POLL_S = 0.02


class PromisedLossesMachine(ProcessFaultMachine):
    """A group of 2f + 1 voters that its leader keeps, and up to f lost disks.

    `lost` names machines whose disk is gone and that count as lost: until the committed membership
    has as many voters as it should, each with the disk that it was bound to. Machines that are cut
    off, frozen or down with their disk do not count; any number of them may come back later.
    """

    def __init__(self) -> None:
        super().__init__()
        self.tolerance = 0
        self.lost: set[str] = set()

    @initialize(
        seed=st.integers(0, 2**32),
        tolerance=st.sampled_from((1, 2, 2)),
        spares=st.integers(0, 2),
        grows=st.booleans(),
    )
    def form(self, seed: int, tolerance: int, spares: int, grows: bool) -> None:
        """Forms the whole group at once, or from three members that the others join."""
        self.tolerance = tolerance
        size = 2 * tolerance + 1
        first = min(size, 3) if grows else size
        self.cluster = Cluster(
            seed,
            first,
            snapshot_entries=8,
            retained_entries=2,
            snapshot_chunk_bytes=64,
            segment_bytes=256,
            append_batch_bytes=1,
            membership_timeout_s=2.0,
            group_size=size,
        )
        self.group.wait_leader()
        for _ in range(size - first + spares):
            self.add_machine()
        self.group.loop.create_task(self.keep_joining())
        self.group.advance_until(self.is_whole, WHOLE_LIMIT_S)

    def add_machine(self) -> None:
        """Starts a member with an empty disk at an address that nobody had before."""
        name = f"n{max(int(name[1:]) for name in self.group.nodes) + 1}"
        self.group.nodes[name] = Node(self.group, name, bootstrap=False)
        self.group.nodes[name].start(self.group)

    async def keep_joining(self) -> None:
        """Does what control instances do that no leader calls."""
        while True:
            await asyncio.sleep(JOIN_INTERVAL_S)
            for name, node in self.group.nodes.items():
                if node.is_running and not node.process.is_frozen:
                    self.ask_to_join(name, node)

    def ask_to_join(self, name: str, node: Node) -> None:
        """Asks the leader unless either direction is cut."""
        leader = self.group.leader()
        if node.replica.core_or_none is None or leader is None:
            return
        leader_name = leader.settings.member_id
        links = {(name, leader_name), (leader_name, name)}
        if not node.replica.needs_to_join(JOIN_SILENCE_S) or links & self.group.network.cuts:
            return
        try:
            leader.replica.request_join(self.group.member(name))
        except ReplicationError:
            return

    def is_whole(self) -> bool:
        """Returns whether the leader has contact with a majority and no voter has lost its disk."""
        leader = self.group.leader()
        leadership = leader.replica.core.leadership if leader else None
        if leader is None or leadership is None or not leadership.has_quorum_contact():
            return False
        committed = leader.replica.core.history.at(leader.replica.commit_index)
        voters = committed.voters()
        return len(voters) >= 2 * self.tolerance + 1 and all(
            self.identity_of(record.member.member_id) == record.identity for record in voters
        )

    def identity_of(self, name: str) -> str:
        """Returns the identity of a machine's present disk, empty before it was ever loaded."""
        node = self.group.nodes.get(name)
        core = node.replica.core_or_none if node else None
        return core.identity if core else ""

    def may_lose(self) -> int:
        """Returns how many more disks the group promises to bear now."""
        if self.lost and self.is_whole():
            self.lost = set()
        return self.tolerance - len(self.lost)

    @rule(who=ANY, steps=st.integers(2, 24))
    def cut_off(self, who: int, steps: int) -> None:
        """Isolates a member, long enough in most cases to be taken for lost; its disk stays."""
        self.group.cut_off(self.pick(who)[0])
        self.group.advance_busily(steps * 0.25)

    @rule(
        who=ANY,
        count=LOSSES,
        bootstrap=st.booleans(),
        is_power_lost=st.booleans(),
        after_ms=st.integers(0, 20),
    )
    def lose_disks(
        self, who: int, count: int, bootstrap: bool, is_power_lost: bool, after_ms: int
    ) -> None:
        """Empties disks shortly after a command was sent; all others may lose power with them."""
        self.propose(1, 2)
        self.group.advance(after_ms * 0.001)
        self.lose_now(who, count, bootstrap, is_power_lost)

    @rule(who=ANY, count=LOSSES, is_power_lost=st.booleans(), after_ms=st.integers(0, 300))
    def lose_disks_during_change(
        self, who: int, count: int, is_power_lost: bool, after_ms: int
    ) -> None:
        """Empties disks while a member that was cut off with its disk is being replaced."""
        leader = self.group.leader()
        if leader is None:
            return
        voters = leader.replica.core.membership.voters()
        self.group.cut_off(self.pick(who)[0])
        for _ in range(CHANGE_POLLS):
            self.group.advance(CHANGE_POLL_S)
            if not leader.is_running or leader.replica.core.membership.voters() != voters:
                break
        self.propose(1, 1)
        self.group.advance(after_ms * 0.001)
        self.lose_now(who + 1, count, False, is_power_lost)

    def lose_now(self, who: int, count: int, bootstrap: bool, is_power_lost: bool) -> None:
        """Empties the disks of up to `count` machines, as far as the promise allows."""
        chosen = {self.pick(who + number)[0] for number in range(min(count, self.may_lose()))}
        others = [node for name, node in self.group.nodes.items() if name not in chosen]
        for node in others if is_power_lost else ():
            node.kill()
        self.lost |= chosen
        for name in sorted(chosen):
            self.group.lose_disk(name, bootstrap)
        for node in others if is_power_lost else ():
            node.disk.restart()
            node.start(self.group)

    @rule(who=ANY)
    def replace_machine(self, who: int) -> None:
        """Removes a machine for good and adds another one at a new address."""
        if self.may_lose() < 1:
            return
        name, node = self.pick(who)
        node.kill()
        del self.group.nodes[name]
        self.lost.add(name)
        self.add_machine()

    def teardown(self) -> None:
        """Nothing acknowledged is lost, and the group becomes whole again by itself."""
        if self.cluster is None:
            return
        self.end_faults()
        self.group.advance_until(self.is_whole, WHOLE_LIMIT_S)
        self.check_agreement()
