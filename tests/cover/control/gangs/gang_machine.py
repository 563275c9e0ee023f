"""A Hypothesis state machine of gangs under faults of leaders, agents and links."""

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
)

from cicadatray.internal.wire.messages.job_messages import FINAL_JOB_STATES, JobState
from cover.control.gangs.gang_simulation import ACCELERATORS, GangSimulation
from cover.control.gangs.simulated_agent import SimulatedAgent

TIMES_S = [0.05, 0.3, 1.0, 2.5, 7.0, 14.0]
RUN_TIMES_S = [2.0, 20.0, 1000.0]
# Several leases, and the retries of starts that failed through the last faults.
SETTLE_S = 60.0
# Agents announce the ends of tasks once a second.
REPORT_S = 2.0
FLEET_START_S = 40.0
NUMBERS = st.integers(0, 5)


class GangMachine(RuleBasedStateMachine):
    """Guards against gangs that run partially, twice or without a decision, or that get stuck."""

    simulation: GangSimulation

    @initialize(seed=st.integers(0, 1000), size=st.integers(2, 4))
    def start(self, seed: int, size: int) -> None:
        self.simulation = GangSimulation(seed, size)
        self.submitted = 0
        self.simulation.advance(2.0)

    @rule(eighths=st.sampled_from([4, 8, 16, 16, 24]), run_s=st.sampled_from(RUN_TIMES_S))
    def submit(self, eighths: int, run_s: float) -> None:
        """Submits a job of up to three workers, or as many as there are."""
        self.submitted += 1
        accelerators = min(eighths, ACCELERATORS * len(self.simulation.workers))
        self.simulation.submit(f"j{self.submitted}", accelerators, run_s)
        self.simulation.advance(0.5)

    @precondition(lambda self: self.submitted > 0)
    @rule(number=NUMBERS)
    def cancel(self, number: int) -> None:
        self.simulation.cancel(f"j{number % self.submitted + 1}")

    @rule(duration_s=st.sampled_from(TIMES_S))
    def let_time_pass(self, duration_s: float) -> None:
        self.simulation.advance(duration_s)

    @rule(duration_s=st.sampled_from(TIMES_S))
    def freeze_leader(self, duration_s: float) -> None:
        """Freezes the leader until `thaw_controls`, and lets `duration_s` pass."""
        self.simulation.leader.process.is_frozen = True
        self.simulation.advance(duration_s)

    @rule()
    def thaw_controls(self) -> None:
        for control in self.simulation.controls.values():
            self.simulation.thaw_control(control)
        self.simulation.advance(0.2)

    @rule()
    def change_leader(self) -> None:
        self.simulation.change_leader()
        self.simulation.advance(0.2)

    @rule()
    def cut_leader_from_group(self) -> None:
        self.simulation.log.cut_members = {self.simulation.log.leader}

    @rule()
    def heal_group(self) -> None:
        self.simulation.log.cut_members.clear()
        self.simulation.in_loop(self.simulation.log.update_members)

    @rule(number=NUMBERS, duration_s=st.sampled_from(TIMES_S))
    def freeze_agent(self, number: int, duration_s: float) -> None:
        self.agent(number).process.is_frozen = True
        self.simulation.advance(duration_s)

    @rule(number=NUMBERS)
    def thaw_agent(self, number: int) -> None:
        agent = self.agent(number)
        if agent.is_running:
            agent.process.thaw()
            self.simulation.advance(0.1)

    @rule(number=NUMBERS, duration_s=st.sampled_from(TIMES_S))
    def crash_agent(self, number: int, duration_s: float) -> None:
        self.agent(number).crash()
        self.simulation.advance(duration_s)

    @rule(number=NUMBERS)
    def restart_agent(self, number: int) -> None:
        self.simulation.restart_agent(self.agent(number))
        self.simulation.advance(1.0)

    @rule(number=NUMBERS)
    def lose_instance(self, number: int) -> None:
        agent = self.agent(number)
        agent.crash()
        agent.worker.stop_all()

    @rule(number=NUMBERS, to_agent=st.booleans(), duration_s=st.sampled_from(TIMES_S))
    def cut_link(self, number: int, to_agent: bool, duration_s: float) -> None:
        """Cuts one direction between an agent and every control instance."""
        name = self.agent(number).name
        for control in self.simulation.controls:
            ends = (control, name) if to_agent else (name, control)
            self.simulation.layer.cuts.add(ends)
        self.simulation.advance(duration_s)

    @rule(to_agents=st.booleans())
    def cut_leader_from_agents(self, to_agents: bool) -> None:
        leader = self.simulation.leader.name
        for agent in self.simulation.agents:
            self.simulation.layer.cuts.add(
                (leader, agent.name) if to_agents else (agent.name, leader)
            )

    @rule(number=NUMBERS)
    def heal_links(self, number: int) -> None:
        """Heals every link of one agent."""
        name = self.agent(number).name
        self.simulation.layer.cuts = {
            ends for ends in self.simulation.layer.cuts if name not in ends
        }

    @rule(troubled=st.booleans())
    def trouble_links(self, troubled: bool) -> None:
        self.simulation.layer.has_random_faults = troubled

    @rule(number=NUMBERS)
    def fail_tasks(self, number: int) -> None:
        self.agent(number).worker.fail()
        self.simulation.advance(0.3)

    @rule(number=NUMBERS)
    def drain_agent(self, number: int) -> None:
        self.agent(number).drain()
        self.simulation.advance(0.3)

    def agent(self, number: int) -> SimulatedAgent:
        agents: list[SimulatedAgent] = self.simulation.agents
        return agents[number % len(agents)]

    def teardown(self) -> None:
        if not hasattr(self, "simulation"):
            return
        try:
            if not self.simulation.checks.violations:
                self.check_end()
        finally:
            self.simulation.close()

    def stuck_jobs(self) -> set[str]:
        """Returns the jobs that neither wait, nor have ended, nor run completely."""
        jobs = self.simulation.log.state.jobs
        unsettled = {text.split()[0] for text in self.simulation.unsettled_jobs()}
        return {job_id for job_id in unsettled if jobs[job_id].state is not JobState.WAITING}

    def check_end(self) -> None:
        """Checks that without faults jobs end or run completely, and the whole fleet is usable."""
        self.simulation.heal()
        self.simulation.advance(SETTLE_S)
        jobs = self.simulation.log.state.jobs
        stuck = self.stuck_jobs()
        if stuck:
            # The tasks of a job may have ended since the last announcement of their agents.
            self.simulation.advance(REPORT_S)
            stuck &= self.stuck_jobs()
        assert not stuck, (stuck, self.simulation.unsettled_jobs())
        for job_id, entry in jobs.items():
            if entry.state not in FINAL_JOB_STATES:
                self.simulation.cancel(job_id)
        self.simulation.advance(10.0)
        assert not self.simulation.unsettled_jobs(), self.simulation.unsettled_jobs()
        fleet = ACCELERATORS * len(self.simulation.workers)
        self.simulation.submit("fleet", fleet, 1000.0)
        self.simulation.advance(FLEET_START_S)
        entry = jobs.get("fleet")
        assert entry is not None, "the job of the whole fleet was not accepted"
        assert self.simulation.checks.runs_completely("fleet"), self.simulation.unsettled_jobs()
