"""Random faults of processes and links while members are removed from a group of five."""

from hypothesis import strategies as st
from hypothesis.stateful import initialize, precondition, rule

from cover.replication.fault_machine import FaultMachine
from cover.replication.process_faults import ANY

SIZE = 5


class RemovalMachine(FaultMachine):
    """Starts with a removal while messages are slow, and kills the leader again and again."""

    @initialize(seed=st.integers(0, 2**32), who=ANY, delay_s=st.sampled_from((0.05, 0.5, 3.0)))
    def form(self, seed: int, who: int, delay_s: float) -> None:  # type: ignore[override]
        super().form(seed, SIZE)
        self.group.network.delay_s = delay_s
        name, _ = self.pick(who)
        self.membership_task = self.group.loop.create_task(self.group.remove_member(name))

    @precondition(lambda self: self.cluster is not None)
    @rule(steps=st.integers(0, 30), operations=st.integers(-1, 6))
    def kill_leader(self, steps: int, operations: int) -> None:
        """Kills the leader, or lets it crash at a write, and lets up to 3 s pass."""
        leader = self.group.leader()
        if leader is None:
            return
        if operations < 0:
            leader.kill()
        else:
            leader.disk.crash_after = operations
        self.group.advance(steps * 0.1)

    @rule(operations=st.integers(-1, 6))
    def restart_all(self, operations: int) -> None:
        for number in range(len(self.group.nodes)):
            self.restart(number, operations)
