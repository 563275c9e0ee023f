"""A hypothesis state machine of task graphs under faults of every part of the way."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from cicadatray.internal.wire.messages.graph_messages import GraphState
from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.step import Step
from cover.taskgraphs.graph_world import GraphWorld

TIMES_S = [0.1, 0.5, 1.5, 4.0, 9.0]
NUMBERS = st.integers(0, 5)
# Leases, their margin, and runs that the last faults have spoilt.
SETTLE_S = 120.0
SHAPES = {
    "small": (Step(3, Resources(1000, 500, 1), 2.0),),
    "gang": (Step(3, Resources(4000, 2000, 4), 2.0, is_gang=True),),
    "whole": (Step(1, Resources(8000, 8000, 8), 2.0),),
    "chain": (
        Step(2, Resources(2000, 500, 2), 2.0),
        Step(2, Resources(2000, 500, 2), 2.0, depends_on=(0,), is_gang=True),
    ),
}


class GraphMachine(RuleBasedStateMachine):
    """Guards against workers over their capacity, tasks that run twice, steps out of order, runs of
    cancelled graphs, and graphs that never end."""

    world: GraphWorld

    @initialize(
        seed=st.integers(0, 1000), size=st.integers(2, 4), finish_s=st.sampled_from((2.0, 9.0))
    )
    def start(self, seed: int, size: int, finish_s: float) -> None:
        self.world = GraphWorld(seed, size)
        self.world.finish_s = finish_s
        self.submitted = 0
        self.world.advance(2.0)

    @rule(shape=st.sampled_from(sorted(SHAPES)), urgent=st.booleans())
    def submit(self, shape: str, urgent: bool) -> None:
        self.submitted += 1
        self.world.submit(f"{self.submitted:016x}", SHAPES[shape], urgent)
        self.world.advance(0.2)

    @precondition(lambda self: self.submitted > 0)
    @rule(number=NUMBERS)
    def cancel(self, number: int) -> None:
        self.world.cancel(f"{number % self.submitted + 1:016x}")

    @rule(duration_s=st.sampled_from(TIMES_S))
    def let_time_pass(self, duration_s: float) -> None:
        self.world.advance(duration_s)

    @rule(duration_s=st.sampled_from(TIMES_S))
    def freeze_leader(self, duration_s: float) -> None:
        self.world.leader.process.is_frozen = True
        self.world.advance(duration_s)

    @rule(number=NUMBERS, duration_s=st.sampled_from(TIMES_S))
    def freeze_agent(self, number: int, duration_s: float) -> None:
        agent = self.world.agents[number % len(self.world.agents)]
        agent.process.is_frozen = True
        self.world.advance(duration_s)
        agent.process.thaw()

    @rule(number=NUMBERS)
    def restart_agent(self, number: int) -> None:
        self.world.restart_agent(number)

    @rule(number=NUMBERS)
    def restart_worker(self, number: int) -> None:
        self.world.workers[number % len(self.world.workers)].restart()

    @rule(number=NUMBERS)
    def drain_worker(self, number: int) -> None:
        self.world.workers[number % len(self.world.workers)].is_draining = True
        self.world.advance(1.5)

    @rule(number=NUMBERS)
    def mute_worker(self, number: int) -> None:
        self.world.workers[number % len(self.world.workers)].is_mute = True

    @rule(number=NUMBERS)
    def let_worker_fail_tasks(self, number: int) -> None:
        self.world.failing.add(self.world.workers[number % len(self.world.workers)].name)
        self.world.advance(0.3)

    @rule(number=NUMBERS)
    def cut_agent(self, number: int) -> None:
        self.world.cut_agent(number)

    @rule()
    def trouble_links(self) -> None:
        self.world.layer.has_random_faults = True

    @rule()
    def change_leader(self) -> None:
        self.world.change_leader()

    @rule()
    def heal(self) -> None:
        self.world.heal()
        self.world.advance(0.5)

    def teardown(self) -> None:
        """After the last fault every accepted graph comes to an end."""
        if not hasattr(self, "world"):
            return
        try:
            if not self.world.faults:
                self.world.heal()
                self.world.advance(SETTLE_S)
                states = {g: self.world.state_of(g) for g in self.world.graphs}
                open_graphs = {
                    graph_id: state.state
                    for graph_id, state in states.items()
                    if isinstance(state, GraphState) and state.state in ("queued", "running")
                }
                assert not open_graphs, open_graphs
        finally:
            self.world.close()
