"""A Hypothesis state machine of runs that end faster than their worker lists their ends."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.step import Step
from cover.taskgraphs.graph_machine import TRIAL_S
from cover.taskgraphs.graph_simulation import GraphSimulation

WORKERS = 2
# Each worker has room for ten of these tasks, several times as many as it lists ends at once.
NEEDS = Resources(800, 100, 0)
SHAPES = {
    "tasks": (Step(12, NEEDS, 2.0),),
    "gang": (Step(8, NEEDS, 2.0, is_gang=True),),
    "chain": (Step(8, NEEDS, 2.0), Step(4, NEEDS, 2.0, depends_on=(0,))),
}
NUMBERS = st.integers(0, WORKERS - 1)
TIMES_S = st.sampled_from((0.1, 0.3, 0.7, 1.5, 3.0))
# Shorter than the lease of a worker, so that no fault explains that a task which is done starts
# again.
CUT_S = st.sampled_from((0.5, 1.0, 2.5, 4.0))
# Covers leases, their margin, and all of the tasks in turn.
SETTLE_S = 60.0
# The tasks that were on a worker when it started again begin one after the other.
TASKS_ON_A_WORKER = 10


class UnlistedEndsMachine(RuleBasedStateMachine):
    """Restarts, cuts and freezes agents, leaders and workers while lists of ends are full.

    Starts may need several replies as well.

    Guards against tasks that are started again although they are done, against runs that a worker
    has lost and that are never started again, and against ends that are never acknowledged.
    """

    simulation: GraphSimulation

    @initialize(
        seed=st.integers(0, 1000),
        task_duration_s=st.sampled_from((0.5, 2.0)),
        ends_per_answer=st.integers(1, 4),
        starts_per_reply=st.sampled_from((1, 3, 100)),
    )
    def start(
        self, seed: int, task_duration_s: float, ends_per_answer: int, starts_per_reply: int
    ) -> None:
        self.simulation = GraphSimulation(seed, WORKERS, ends_per_answer)
        self.simulation.limit_starts(starts_per_reply)
        self.simulation.task_duration_s = task_duration_s
        self.submitted = 0
        self.worker_restarts = 0
        self.simulation.advance(2.0)

    @rule(shape=st.sampled_from(sorted(SHAPES)))
    def submit(self, shape: str) -> None:
        self.submitted += 1
        self.simulation.submit(f"{self.submitted:016x}", SHAPES[shape])
        self.simulation.advance(1.0)

    @precondition(lambda self: self.submitted > 0)
    @rule(number=st.integers(0, 5))
    def cancel(self, number: int) -> None:
        self.simulation.cancel(f"{number % self.submitted + 1:016x}")

    @rule(duration_s=TIMES_S)
    def let_time_pass(self, duration_s: float) -> None:
        self.simulation.advance(duration_s)

    @rule(duration_s=CUT_S)
    def cut_all_agents(self, duration_s: float) -> None:
        for number in range(WORKERS):
            self.simulation.cut_agent(number)
        self.simulation.advance(duration_s)
        self.simulation.layer.cuts.clear()

    @rule(number=NUMBERS, duration_s=CUT_S)
    def cut_agent(self, number: int, duration_s: float) -> None:
        self.simulation.cut_agent(number)
        self.simulation.advance(duration_s)
        self.simulation.layer.cuts.clear()

    @rule(number=NUMBERS, duration_s=CUT_S)
    def freeze_agent(self, number: int, duration_s: float) -> None:
        agent = self.simulation.agents[number]
        agent.process.is_frozen = True
        self.simulation.advance(duration_s)
        agent.process.thaw()

    @rule(duration_s=CUT_S)
    def freeze_leader(self, duration_s: float) -> None:
        process = self.simulation.leader.process
        process.is_frozen = True
        self.simulation.advance(duration_s)
        process.thaw()

    @rule()
    def change_leader(self) -> None:
        self.simulation.change_leader()

    @rule(number=NUMBERS, times=st.integers(1, 3), pause_s=st.sampled_from((0.0, 0.1, 0.4)))
    def restart_agent(self, number: int, times: int, pause_s: float) -> None:
        for _ in range(times):
            self.simulation.restart_agent(number)
            self.simulation.advance(pause_s)

    @rule(number=NUMBERS, duration_s=CUT_S)
    def leave_orders_unanswered(self, number: int, duration_s: float) -> None:
        worker = self.simulation.workers[number]
        worker.is_unresponsive = True
        self.simulation.advance(duration_s)
        worker.is_unresponsive = False

    @rule(number=st.integers(0, 20))
    def lose_run(self, number: int) -> None:
        runs = [(worker, run) for worker in self.simulation.workers for run in worker.running]
        if runs:
            worker, run = runs[number % len(runs)]
            worker.lose(run)

    @rule(number=NUMBERS)
    def restart_worker(self, number: int) -> None:
        self.worker_restarts += 1
        self.simulation.workers[number].restart()

    def teardown(self) -> None:
        """Checks that every graph ends after the last fault, and that all ends are acknowledged."""
        if not hasattr(self, "simulation"):
            return
        try:
            if not self.simulation.violations:
                self.simulation.heal()
                alone_s = TASKS_ON_A_WORKER * (self.simulation.task_duration_s + TRIAL_S)
                self.simulation.advance(SETTLE_S + self.worker_restarts * alone_s)
                assert not self.simulation.open_graphs()
                for worker in self.simulation.workers:
                    assert not worker.ended or worker.noted_number == worker.ended[-1].number
        finally:
            self.simulation.close()
