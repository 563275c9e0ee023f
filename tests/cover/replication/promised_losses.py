"""Simultaneous loss of as many disks as a group tolerates, combined with other random faults."""

import asyncio

from hypothesis import strategies as st
from hypothesis.stateful import initialize, rule

from cicadatray.replication.errors import ReplicationError
from cover.replication.cluster import Cluster, Node
from cover.replication.process_faults import ANY, ProcessFaultMachine

JOIN_TIMEOUT_S = 1.5
JOIN_INTERVAL_S = 0.4
# Long enough for several replacements in succession, each with an election.
RECOVERY_LIMIT_S = 120.0
# An instance whose disk was lost still counts as lost for this long after its restart.
CATCH_UP_S = 4.0
LOSSES = st.sampled_from((1, 2, 2))
# Six seconds in total: longer than the timeout after which a voter is replaced.
CHANGE_POLLS = 300
CHANGE_POLL_S = 0.02


class PromisedLossesMachine(ProcessFaultMachine):
    """A group whose leader maintains 2f + 1 voters, and which loses up to f disks at a time.

    `lost` holds the instances whose lost disk still counts: until `CATCH_UP_S` have passed and the
    group has its full number of voters, each with the disk whose identity is in the membership.
    Instances that are isolated, frozen or down with an intact disk do not count.
    """

    def __init__(self) -> None:
        super().__init__()
        self.tolerance = 0
        self.lost: set[str] = set()
        self.lost_s = 0.0

    @initialize(
        seed=st.integers(0, 2**32),
        tolerance=st.sampled_from((1, 2, 2)),
        spares=st.integers(0, 2),
        grows=st.booleans(),
    )
    def form(self, seed: int, tolerance: int, spares: int, grows: bool) -> None:
        """Forms the group at its full size, or from three members that the others join."""
        self.tolerance = tolerance
        size = 2 * tolerance + 1
        initial_size = min(size, 3) if grows else size
        self.cluster = Cluster(
            seed,
            initial_size,
            snapshot_entries=8,
            retained_entries=2,
            snapshot_chunk_bytes=64,
            segment_bytes=256,
            append_batch_bytes=1,
            membership_timeout_s=2.0,
            group_size=size,
        )
        self.group.wait_for_leader()
        for _ in range(size - initial_size + spares):
            self.add_instance()
        self.group.loop.create_task(self.keep_joining())
        self.group.advance_until(self.has_full_membership, RECOVERY_LIMIT_S)

    def add_instance(self) -> None:
        """Starts a member with an empty disk and a new name and address."""
        name = f"n{max(int(name[1:]) for name in self.group.nodes) + 1}"
        self.group.nodes[name] = Node(self.group, name, bootstrap=False)
        self.group.nodes[name].start(self.group)

    async def keep_joining(self) -> None:
        """Makes members without contact to a leader ask to join, as control instances do."""
        while True:
            await asyncio.sleep(JOIN_INTERVAL_S)
            for name, node in self.group.nodes.items():
                if node.is_running and not node.process.is_frozen:
                    self.ask_to_join(name, node)

    def ask_to_join(self, name: str, node: Node) -> None:
        """Asks the leader to add the member unless the link is blocked in either direction."""
        leader = self.group.leader()
        if node.replica.core_or_none is None or leader is None:
            return
        leader_name = leader.settings.member_id
        links = {(name, leader_name), (leader_name, name)}
        if (
            not node.replica.needs_to_join(JOIN_TIMEOUT_S)
            or links & self.group.network.blocked_links
        ):
            return
        try:
            leader.replica.request_join(self.group.member(name))
        except ReplicationError:
            return

    def has_full_membership(self) -> bool:
        """Returns whether all voters are present in the membership with their current disks.

        The leader must have contact with a majority, and no membership change may be in progress.
        """
        leader = self.group.leader()
        leadership = leader.replica.core.leadership if leader else None
        if leader is None or leadership is None or not leadership.has_quorum_contact():
            return False
        core = leader.replica.core
        if core.history.last_index > leader.replica.commit_index:
            return False
        voters = core.membership.voters()
        return len(voters) >= 2 * self.tolerance + 1 and all(
            self.current_identity(record.member.member_id) == record.identity for record in voters
        )

    def current_identity(self, name: str) -> str:
        """Returns the identity of an instance's current disk, empty before it is first loaded."""
        node = self.group.nodes.get(name)
        core = node.replica.core_or_none if node else None
        return core.identity if core else ""

    def remaining_losses(self) -> int:
        """Returns how many more disk losses the group tolerates now."""
        is_over = self.group.loop.time() >= self.lost_s + CATCH_UP_S
        if self.lost and is_over and self.has_full_membership():
            self.lost = set()
        return self.tolerance - len(self.lost)

    def count_as_lost(self, names: set[str]) -> None:
        """Counts instances as lost from now on."""
        if names:
            self.lost |= names
            self.lost_s = self.group.loop.time()

    @rule(who=ANY, steps=st.integers(2, 24))
    def isolate_member(self, who: int, steps: int) -> None:
        """Isolates a member with its disk, in most cases long enough for it to be replaced."""
        self.group.isolate(self.pick(who)[0])
        self.group.advance_under_load(steps * 0.25)

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
        """Loses disks shortly after a proposal; all other members may lose power at that time."""
        self.propose(1, 2)
        self.group.advance(after_ms * 0.001)
        self.lose_disks_now(who, count, bootstrap, is_power_lost)

    @rule(who=ANY, count=LOSSES, is_power_lost=st.booleans(), after_ms=st.integers(0, 300))
    def lose_disks_during_change(
        self, who: int, count: int, is_power_lost: bool, after_ms: int
    ) -> None:
        """Loses disks while an isolated member, whose disk is intact, is being replaced."""
        leader = self.group.leader()
        if leader is None:
            return
        voters = leader.replica.core.membership.voters()
        self.group.isolate(self.pick(who)[0])
        for _ in range(CHANGE_POLLS):
            self.group.advance(CHANGE_POLL_S)
            if not leader.is_running or leader.replica.core.membership.voters() != voters:
                break
        self.propose(1, 1)
        self.group.advance(after_ms * 0.001)
        self.lose_disks_now(who + 1, count, False, is_power_lost)

    def lose_disks_now(self, who: int, count: int, bootstrap: bool, is_power_lost: bool) -> None:
        """Loses the disks of up to `count` instances, at most as many as the group tolerates."""
        chosen = {
            self.pick(who + number)[0] for number in range(min(count, self.remaining_losses()))
        }
        others = [node for name, node in self.group.nodes.items() if name not in chosen]
        for node in others if is_power_lost else ():
            node.kill()
        self.count_as_lost(chosen)
        for name in sorted(chosen):
            self.group.lose_disk(name, bootstrap)
        for node in others if is_power_lost else ():
            node.disk.restart()
            node.start(self.group)

    @rule(who=ANY)
    def replace_instance(self, who: int) -> None:
        """Removes an instance permanently and adds a new one at a new address."""
        if self.remaining_losses() < 1:
            return
        name, node = self.pick(who)
        node.kill()
        del self.group.nodes[name]
        self.count_as_lost({name})
        self.add_instance()

    def teardown(self) -> None:
        """Checks that the group recovers its full size and lost no acknowledged command."""
        if self.cluster is None:
            return
        self.end_faults()
        self.group.advance_until(self.has_full_membership, RECOVERY_LIMIT_S)
        self.check_agreement()
