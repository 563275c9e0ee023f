"""A hypothesis state machine of gangs under faults of leaders, agents and links."""

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
)

from cicadatray.internal.wire.messages.job_messages import FINAL_JOB_STATES, JobState
from cover.control.gangs.gang_world import ACCELERATORS, GangWorld
from cover.control.gangs.simulated_agent import SimulatedAgent

TIMES_S = [0.05, 0.3, 1.0, 2.5, 7.0, 14.0]
RUN_TIMES_S = [2.0, 20.0, 1000.0]
# Several leases, and retries of starts that the last faults have spoilt.
SETTLE_S = 60.0
FLEET_START_S = 40.0
NUMBERS = st.integers(0, 5)


class GangMachine(RuleBasedStateMachine):
    """Guards against gangs that run in part, twice, without a decision, or that get stuck."""

    world: GangWorld

    @initialize(seed=st.integers(0, 1000), size=st.integers(2, 4))
    def start(self, seed: int, size: int) -> None:
        self.world = GangWorld(seed, size)
        self.submitted = 0
        self.world.advance(2.0)

    @rule(eighths=st.sampled_from([4, 8, 16, 16, 24]), run_s=st.sampled_from(RUN_TIMES_S))
    def submit(self, eighths: int, run_s: float) -> None:
        """Submits a job of up to three workers, or as many as there are."""
        self.submitted += 1
        accelerators = min(eighths, ACCELERATORS * len(self.world.workers))
        self.world.submit(f"j{self.submitted}", accelerators, run_s)
        self.world.advance(0.5)

    @precondition(lambda self: self.submitted > 0)
    @rule(number=NUMBERS)
    def cancel(self, number: int) -> None:
        self.world.cancel(f"j{number % self.submitted + 1}")

    @rule(duration_s=st.sampled_from(TIMES_S))
    def let_time_pass(self, duration_s: float) -> None:
        self.world.advance(duration_s)

    @rule(duration_s=st.sampled_from(TIMES_S))
    def freeze_leader(self, duration_s: float) -> None:
        """The instance stays frozen after this time until `thaw_controls`."""
        self.world.leader.process.is_frozen = True
        self.world.advance(duration_s)

    @rule()
    def thaw_controls(self) -> None:
        for control in self.world.controls.values():
            self.world.thaw_control(control)
        self.world.advance(0.2)

    @rule()
    def change_leader(self) -> None:
        self.world.change_leader()
        self.world.advance(0.2)

    @rule()
    def cut_leader_from_group(self) -> None:
        self.world.log.cut_members = {self.world.log.leader}

    @rule()
    def heal_group(self) -> None:
        self.world.log.cut_members.clear()
        self.world.log.update_members()

    @rule(number=NUMBERS, duration_s=st.sampled_from(TIMES_S))
    def freeze_agent(self, number: int, duration_s: float) -> None:
        self.agent(number).process.is_frozen = True
        self.world.advance(duration_s)

    @rule(number=NUMBERS)
    def thaw_agent(self, number: int) -> None:
        agent = self.agent(number)
        if agent.is_running:
            agent.process.thaw()
            self.world.advance(0.1)

    @rule(number=NUMBERS, duration_s=st.sampled_from(TIMES_S))
    def crash_agent(self, number: int, duration_s: float) -> None:
        self.agent(number).crash()
        self.world.advance(duration_s)

    @rule(number=NUMBERS)
    def restart_agent(self, number: int) -> None:
        self.world.restart_agent(self.agent(number))
        self.world.advance(1.0)

    @rule(number=NUMBERS)
    def lose_instance(self, number: int) -> None:
        agent = self.agent(number)
        agent.crash()
        agent.worker.stop_all()

    @rule(number=NUMBERS, to_agent=st.booleans(), duration_s=st.sampled_from(TIMES_S))
    def cut_link(self, number: int, to_agent: bool, duration_s: float) -> None:
        """Cuts one direction between an agent and every control instance."""
        name = self.agent(number).name
        for control in self.world.controls:
            ends = (control, name) if to_agent else (name, control)
            self.world.layer.cuts.add(ends)
        self.world.advance(duration_s)

    @rule(to_agents=st.booleans())
    def cut_leader_from_agents(self, to_agents: bool) -> None:
        leader = self.world.leader.name
        for agent in self.world.agents:
            self.world.layer.cuts.add((leader, agent.name) if to_agents else (agent.name, leader))

    @rule(number=NUMBERS)
    def heal_links(self, number: int) -> None:
        """Heals every link of one agent."""
        name = self.agent(number).name
        self.world.layer.cuts = {ends for ends in self.world.layer.cuts if name not in ends}

    @rule(troubled=st.booleans())
    def trouble_links(self, troubled: bool) -> None:
        self.world.layer.has_random_faults = troubled

    @rule(number=NUMBERS)
    def fail_tasks(self, number: int) -> None:
        self.agent(number).worker.fail()
        self.world.advance(0.3)

    @rule(number=NUMBERS)
    def drain_agent(self, number: int) -> None:
        self.agent(number).drain()
        self.world.advance(0.3)

    def agent(self, number: int) -> SimulatedAgent:
        agents: list[SimulatedAgent] = self.world.agents
        return agents[number % len(agents)]

    def teardown(self) -> None:
        if not hasattr(self, "world"):
            return
        try:
            if not self.world.checks.faults:
                self.check_end()
        finally:
            self.world.close()

    def check_end(self) -> None:
        """After all faults every job ends or runs whole, and the whole fleet can be used."""
        self.world.heal()
        self.world.advance(SETTLE_S)
        jobs = self.world.log.state.jobs
        waiting = [job_id for job_id, entry in jobs.items() if entry.state is JobState.WAITING]
        stuck = [text for text in self.world.unsettled_jobs() if text.split()[0] not in waiting]
        assert not stuck, stuck
        for job_id, entry in jobs.items():
            if entry.state not in FINAL_JOB_STATES:
                self.world.cancel(job_id)
        self.world.advance(10.0)
        assert not self.world.unsettled_jobs(), self.world.unsettled_jobs()
        fleet = ACCELERATORS * len(self.world.workers)
        self.world.submit("fleet", fleet, 1000.0)
        self.world.advance(FLEET_START_S)
        entry = jobs.get("fleet")
        assert entry is not None, "the job of the whole fleet was not accepted"
        assert self.world.checks.runs_whole("fleet"), self.world.unsettled_jobs()
