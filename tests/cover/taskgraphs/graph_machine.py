"""A Hypothesis state machine of task graphs under faults of control, agents, workers and links."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.step import Step
from cover.taskgraphs.graph_simulation import GraphSimulation
from cover.taskgraphs.simulated_task_worker import DATA_CENTRES, ENDS_PER_ANSWER

TIMES_S = [0.1, 0.5, 1.5, 4.0, 9.0]
NUMBERS = st.integers(0, 5)
DATA_CENTRE_NAMES = st.sampled_from([f"d{number}" for number in range(DATA_CENTRES)])
# Covers leases, their margin, and the repetition of runs that the last faults interrupted.
SETTLE_S = 120.0
# Each deadly job adds two steps at most, whose tasks begin alone on a worker.
DEADLY_STEPS = 2
TRIAL_S = 1.5
# The platform tolerates two more starts after three workers have crashed under a task.
MOST_CRASHES = 5
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
    """Submits graphs and injects faults.

    Guards against workers over their capacity, tasks that run twice, steps out of order, runs of
    cancelled graphs, graphs that never end, starts in an evacuated data centre, and tasks that
    crash one worker after the other.
    """

    simulation: GraphSimulation

    @initialize(
        seed=st.integers(0, 1000),
        size=st.integers(2, 4),
        task_duration_s=st.sampled_from((2.0, 9.0)),
        ends_per_answer=st.sampled_from((ENDS_PER_ANSWER, 1, 2)),
    )
    def start(self, seed: int, size: int, task_duration_s: float, ends_per_answer: int) -> None:
        self.simulation = GraphSimulation(seed, size, ends_per_answer)
        self.simulation.task_duration_s = task_duration_s
        self.submitted = 0
        self.deadly = 0
        self.simulation.advance(2.0)

    @rule(shape=st.sampled_from(sorted(SHAPES)), urgent=st.booleans())
    def submit(self, shape: str, urgent: bool) -> None:
        self.submitted += 1
        self.simulation.submit(f"{self.submitted:016x}", SHAPES[shape], urgent)
        self.simulation.advance(0.2)

    @rule(shape=st.sampled_from(sorted(SHAPES)), crash_delay_s=st.sampled_from((0.0, 0.01, 2.0)))
    def submit_deadly(self, shape: str, crash_delay_s: float) -> None:
        self.submitted += 1
        self.deadly += 1
        for worker in self.simulation.workers:
            worker.crash_delay_s = crash_delay_s
        self.simulation.submit_deadly(f"{self.submitted:016x}", SHAPES[shape])
        self.simulation.advance(0.2)

    @precondition(lambda self: self.submitted > 0)
    @rule(number=NUMBERS)
    def cancel(self, number: int) -> None:
        self.simulation.cancel(f"{number % self.submitted + 1:016x}")

    @rule(duration_s=st.sampled_from(TIMES_S))
    def let_time_pass(self, duration_s: float) -> None:
        self.simulation.advance(duration_s)

    @rule(duration_s=st.sampled_from(TIMES_S))
    def freeze_leader(self, duration_s: float) -> None:
        self.simulation.leader.process.is_frozen = True
        self.simulation.advance(duration_s)

    @rule(number=NUMBERS, duration_s=st.sampled_from(TIMES_S))
    def freeze_agent(self, number: int, duration_s: float) -> None:
        agent = self.simulation.agents[number % len(self.simulation.agents)]
        agent.process.is_frozen = True
        self.simulation.advance(duration_s)
        agent.process.thaw()

    @rule(number=NUMBERS)
    def restart_agent(self, number: int) -> None:
        self.simulation.restart_agent(number)

    @rule(number=NUMBERS)
    def restart_worker(self, number: int) -> None:
        self.simulation.workers[number % len(self.simulation.workers)].restart()

    @rule(number=NUMBERS)
    def crash_worker(self, number: int) -> None:
        self.simulation.workers[number % len(self.simulation.workers)].crash()

    @rule(number=NUMBERS)
    def lose_run(self, number: int) -> None:
        runs = [(w, run) for w in self.simulation.workers for run in w.running]
        if runs:
            worker, run = runs[number % len(runs)]
            worker.lose(run)

    @rule(number=NUMBERS)
    def drain_worker(self, number: int) -> None:
        self.simulation.workers[number % len(self.simulation.workers)].is_draining = True
        self.simulation.advance(1.5)

    @rule(number=NUMBERS)
    def make_worker_unresponsive(self, number: int) -> None:
        self.simulation.workers[number % len(self.simulation.workers)].is_unresponsive = True

    @rule(number=NUMBERS)
    def let_worker_fail_tasks(self, number: int) -> None:
        self.simulation.failing_workers.add(
            self.simulation.workers[number % len(self.simulation.workers)].name
        )
        self.simulation.advance(0.3)

    @rule(number=NUMBERS)
    def cut_agent(self, number: int) -> None:
        self.simulation.cut_agent(number)

    @rule()
    def degrade_links(self) -> None:
        self.simulation.layer.has_random_faults = True

    @rule(data_centre=DATA_CENTRE_NAMES)
    def evacuate(self, data_centre: str) -> None:
        self.simulation.evacuate(data_centre)
        self.simulation.advance(0.3)

    @rule(data_centre=DATA_CENTRE_NAMES)
    def take_back(self, data_centre: str) -> None:
        self.simulation.take_back(data_centre)
        self.simulation.advance(0.3)

    @rule()
    def change_leader(self) -> None:
        self.simulation.change_leader()

    @rule(
        number=NUMBERS,
        terms_s=st.lists(st.sampled_from((0.5, 1.5, 2.5, 4.0)), min_size=2, max_size=4),
        is_cut_twice=st.booleans(),
    )
    def change_leaders_beside_a_silent_worker(
        self, number: int, terms_s: list[float], is_cut_twice: bool
    ) -> None:
        self.simulation.cut_agent(number)
        for term_s in terms_s:
            self.simulation.advance(term_s)
            self.simulation.change_leader()
        if is_cut_twice:
            self.simulation.layer.cuts.clear()
            self.simulation.advance(1.0)
            self.simulation.cut_agent(number)
            self.simulation.change_leader()

    @rule()
    def heal(self) -> None:
        self.simulation.heal()
        self.simulation.advance(0.5)

    def teardown(self) -> None:
        """Checks that every accepted graph ends after the last fault."""
        if not hasattr(self, "simulation"):
            return
        try:
            if not self.simulation.violations:
                self.simulation.heal()
                self.simulation.take_all_back()
                deadly_s = DEADLY_STEPS * (self.simulation.task_duration_s + TRIAL_S)
                self.simulation.advance(SETTLE_S + self.deadly * deadly_s)
                assert not self.simulation.open_graphs()
                assert self.simulation.most_crashes_under_a_task() <= MOST_CRASHES
        finally:
            self.simulation.close()
