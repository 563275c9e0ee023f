"""Tests of gangs of shape jobs in an evacuated data centre."""

import asyncio
from collections.abc import Iterator

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import initialize, precondition, rule

from cicadatray.internal.wire.message import MessageStruct
from cicadatray.internal.wire.messages.evacuation_messages import OrderEvacuation, RecordEvacuation
from cicadatray.internal.wire.messages.job_messages import JobState, PlaceGang, StartGang
from cover.control.gangs.gang_checks import GangChecks
from cover.control.gangs.gang_machine import GangMachine
from cover.control.gangs.gang_simulation import GangSimulation
from cover.control.gangs.simulated_control import EVACUATION_START_LIMIT_S

DATA_CENTRE = "d0"
# An agent carries out an order of a paused leader, or one that reached it in a pause, until its
# permission has expired. Without such faults nothing may start at all, which the first test checks.
START_BOUND_S = EVACUATION_START_LIMIT_S


class EvacuationChecks(GangChecks):
    """Records the starts of tasks after the evacuation as violations.

    `allowed_s` is the time after the evacuation within which starts are no violation.
    """

    __slots__ = ("allowed_s", "evacuated_s", "loop")

    def __init__(self, simulation: GangSimulation, allowed_s: float) -> None:
        super().__init__(simulation.log, simulation.workers)
        self.loop = simulation.loop
        self.allowed_s = allowed_s
        self.evacuated_s: float | None = None

    def check_start(self, worker_id: str, gang: tuple[str, int]) -> None:
        super().check_start(worker_id, gang)
        if self.evacuated_s is not None:
            late_s = self.loop.time() - self.evacuated_s
            if late_s > self.allowed_s:
                self.violations.append(f"{gang} starts {late_s:.2f} s after the evacuation")


def order(simulation: GangSimulation, is_evacuated: bool) -> None:
    """Commits an order, as the leader does before it confirms."""
    simulation.in_loop(lambda: commit_order(simulation, is_evacuated))


def commit_order(simulation: GangSimulation, is_evacuated: bool) -> None:
    """Commits an order inside the event loop."""
    checks = simulation.checks
    assert isinstance(checks, EvacuationChecks)
    call = OrderEvacuation(data_centre=DATA_CENTRE, is_evacuated=is_evacuated)
    command = RecordEvacuation(order=call, now_s=simulation.loop.time())
    simulation.log.commit(simulation.log.state.encode_command(command))
    if not is_evacuated:
        checks.evacuated_s = None
    elif checks.evacuated_s is None:
        checks.evacuated_s = simulation.loop.time()


@pytest.fixture
def simulation() -> Iterator[GangSimulation]:
    """Returns a deployment of two workers in which no start may follow an evacuation."""
    made = GangSimulation(seed=1, size=2)
    made.checks = EvacuationChecks(made, allowed_s=0.0)
    made.advance(2.0)
    yield made
    made.close()


@pytest.mark.parametrize("is_leader_changed", [False, True])
@pytest.mark.parametrize("moment", [PlaceGang, StartGang])
def test_a_gang_that_was_decided_before_the_evacuation_does_not_start(
    simulation: GangSimulation, moment: type[MessageStruct], is_leader_changed: bool
) -> None:
    """Guards against starts that were on their way, also when a new leader resumes the gang."""

    def evacuate() -> None:
        commit_order(simulation, True)
        if is_leader_changed:
            simulation.change_leader()

    def on_command(command: MessageStruct) -> None:
        if isinstance(command, moment):
            simulation.log.state.listeners.clear()
            asyncio.get_event_loop().call_soon(evacuate)

    simulation.log.state.listeners.append(on_command)
    simulation.submit("j", 16, 1000.0)
    simulation.advance(20.0)
    entry = simulation.log.state.jobs["j"]
    assert entry.state is JobState.WAITING and entry.epoch == 1
    assert (("j", 1) in simulation.log.started) is (moment is StartGang), "started without use"
    order(simulation, False)
    simulation.advance(5.0)
    assert simulation.checks.runs_completely("j")


# Without a permission the agents started the gang until their lease of 6 s had expired.
@pytest.mark.parametrize("pause_s", [3.0, 5.1])
def test_an_agent_that_was_paused_starts_nothing_late(
    simulation: GangSimulation, pause_s: float
) -> None:
    """Guards against a start that reached an agent in a pause, before the evacuation."""
    loop = asyncio.get_event_loop()

    def pause() -> None:
        for agent in simulation.agents:
            agent.process.is_frozen = True

    def resume() -> None:
        for agent in simulation.agents:
            agent.process.thaw()

    def on_command(command: MessageStruct) -> None:
        if isinstance(command, StartGang):
            simulation.log.state.listeners.clear()
            loop.call_later(0.005, pause)
            loop.call_later(0.02, lambda: commit_order(simulation, True))
            loop.call_later(0.02 + pause_s, resume)

    checks = simulation.checks
    assert isinstance(checks, EvacuationChecks)
    checks.allowed_s = START_BOUND_S / 2
    simulation.log.state.listeners.append(on_command)
    simulation.submit("j", 16, 1000.0)
    simulation.advance(20.0)
    assert simulation.log.state.jobs["j"].state is JobState.WAITING
    order(simulation, False)
    simulation.advance(5.0)
    assert simulation.checks.runs_completely("j")


@pytest.mark.parametrize("is_leader_changed", [False, True])
def test_a_gang_that_runs_goes_on(simulation: GangSimulation, is_leader_changed: bool) -> None:
    """Guards against an evacuation that stops what runs, also under the next leader."""
    simulation.submit("j", 16, 1000.0)
    simulation.advance(3.0)
    order(simulation, True)
    if is_leader_changed:
        simulation.change_leader()
    simulation.advance(20.0)
    assert simulation.log.state.jobs["j"].epoch == 1
    assert simulation.checks.runs_completely("j")


class EvacuationGangMachine(GangMachine):
    """Guards against late starts, partial gangs and stuck jobs under evacuations and faults."""

    @initialize(seed=st.integers(0, 1000), size=st.integers(2, 4))
    def start(self, seed: int, size: int) -> None:
        super().start(seed, size)
        self.simulation.checks = EvacuationChecks(self.simulation, START_BOUND_S)

    @precondition(lambda self: self.simulation.log.is_reachable(self.simulation.log.leader))
    @rule(is_evacuated=st.booleans())
    def evacuate(self, is_evacuated: bool) -> None:
        order(self.simulation, is_evacuated)
        self.simulation.advance(0.2)

    def check_end(self) -> None:
        order(self.simulation, False)
        super().check_end()


TestEvacuations = EvacuationGangMachine.TestCase
TestEvacuations.settings = settings(max_examples=30, stateful_step_count=30)
