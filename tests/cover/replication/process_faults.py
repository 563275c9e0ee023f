"""Random faults of processes, disks and links in a group of real replicas."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from cover.replication.cluster import Cluster, Node

ANY = st.integers(min_value=0, max_value=59)


class ProcessFaultMachine(RuleBasedStateMachine):
    """Faults that a group tolerates in any number, because no durable data is lost.

    `who` selects a member by number. Hypothesis orders rules by name, so renaming one changes the
    examples that a seed produces.
    """

    def __init__(self) -> None:
        super().__init__()
        self.cluster: Cluster | None = None

    @property
    def group(self) -> Cluster:
        assert self.cluster is not None
        return self.cluster

    def pick(self, number: int) -> tuple[str, Node]:
        names = sorted(self.group.nodes)
        name = names[number % len(names)]
        return name, self.group.nodes[name]

    @rule(who=ANY, count=st.integers(1, 6))
    def propose(self, who: int, count: int) -> None:
        node = self.group.leader() or self.pick(who)[1]
        node = self.pick(who)[1] if who % 3 == 0 else node
        for _ in range(count):
            if node.is_running:
                self.group.spawn(node, self.group.propose(node))

    @rule(who=ANY)
    def read(self, who: int) -> None:
        _, node = self.pick(who)
        if node.is_running:
            self.group.spawn(node, self.group.read(node))

    @rule(steps=st.integers(1, 30), is_leader_silent=st.booleans())
    def advance(self, steps: int, is_leader_silent: bool) -> None:
        leader = self.group.leader()
        without_proposals = (leader,) if leader is not None and is_leader_silent else ()
        self.group.advance_under_load(steps * 0.1, without_proposals=without_proposals)

    @rule(steps=st.integers(0, 20))
    def advance_little(self, steps: int) -> None:
        self.group.advance(steps * 0.001)

    @rule(who=ANY)
    def kill(self, who: int) -> None:
        self.pick(who)[1].kill()

    @rule(who=ANY, operations=st.integers(0, 12), lead=st.booleans())
    def crash_at_write(self, who: int, operations: int, lead: bool) -> None:
        node = (self.group.leader() if lead else None) or self.pick(who)[1]
        node.disk.crash_after = operations

    @rule(who=ANY, operations=st.integers(-1, 6))
    def restart(self, who: int, operations: int) -> None:
        _, node = self.pick(who)
        if not node.is_running:
            node.kill()
            node.disk.restart()
            node.disk.crash_after = operations
            node.start(self.group)

    @rule(who=ANY, other=ANY, both=st.booleans())
    def cut(self, who: int, other: int, both: bool) -> None:
        source, target = self.pick(who)[0], self.pick(other)[0]
        self.group.network.blocked_links.add((source, target))
        if both:
            self.group.network.blocked_links.add((target, source))

    @rule(who=ANY)
    def isolate_leader(self, who: int) -> None:
        node = self.group.leader() or self.pick(who)[1]
        self.group.isolate(node.settings.member_id)

    @rule()
    def heal(self) -> None:
        self.group.network.blocked_links = set()

    @rule(
        loss=st.sampled_from((0.0, 0.05, 0.3)),
        repeat=st.sampled_from((0.0, 0.3)),
        delay_s=st.sampled_from((0.002, 0.05, 0.5, 3.0)),
    )
    def disturb(self, loss: float, repeat: float, delay_s: float) -> None:
        network = self.group.network
        network.loss_rate, network.duplicate_rate, network.delay_s = loss, repeat, delay_s

    @rule(who=ANY, lead=st.booleans())
    def freeze(self, who: int, lead: bool) -> None:
        node = (self.group.leader() if lead else None) or self.pick(who)[1]
        if node.is_running:
            node.process.is_frozen = True

    @rule(who=ANY)
    def thaw(self, who: int) -> None:
        self.pick(who)[1].process.thaw()

    @rule()
    def hand_over_leadership(self) -> None:
        leader = self.group.leader()
        if leader is not None:
            self.group.spawn(leader, leader.replica.transfer_leadership())

    def end_faults(self) -> None:
        """Heals the network, thaws every process and restarts those that are down."""
        group = self.group
        group.network.blocked_links = set()
        group.network.loss_rate, group.network.delay_s = 0.0, 0.002
        for node in group.nodes.values():
            node.process.thaw()
            node.disk.crash_after = -1
            if not node.is_running:
                node.kill()
                node.disk.restart()
                node.start(group)

    def check_agreement(self) -> None:
        """Checks that the group commits again and that all members applied the same commands."""
        group = self.group
        group.propose_until_acknowledged()
        group.advance(6.0)
        for name, node in group.nodes.items():
            group.check(
                node.state_machine.commands == group.applied_commands, f"{name} misses commands"
            )
        group.check(
            len(set(group.applied_commands)) == len(group.applied_commands),
            "a command was applied twice",
        )
        group.close()
