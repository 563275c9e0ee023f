"""Starts whose commit takes longer than the session of the leader that proposed them."""

from collections.abc import Callable, Iterator

import pytest

from cicadatray.internal.control.leader_session import PROPOSE_TIMEOUT_S
from cicadatray.internal.wire.messages.graph_messages import GraphState
from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.step import Step
from cover.taskgraphs.graph_simulation import GraphSimulation

GRAPH = "00000000000000aa"
TASKS = 4
# Long enough for the leader to begin a new session, and too short for an election.
CUT_S = 1.3

Delay = Callable[[GraphSimulation], None]


@pytest.fixture
def simulation() -> Iterator[GraphSimulation]:
    simulation = GraphSimulation(seed=7, size=2)
    simulation.advance(2.0)
    yield simulation
    simulation.close()


def slow_commit(simulation: GraphSimulation) -> None:
    """The disks of a majority are slow, while its members still follow the leader."""
    simulation.advance(PROPOSE_TIMEOUT_S + 0.5)


def unconfirmed_leader(simulation: GraphSimulation) -> None:
    """The leader is cut off for less time than the group takes to elect another one."""
    simulation.advance(0.5)
    simulation.log.cut_members.add(simulation.log.leader)
    simulation.advance(CUT_S)
    simulation.log.cut_members.clear()
    simulation.advance(1.5)


def restarted_worker(simulation: GraphSimulation) -> None:
    """The workers are replaced by new ones while the commit is slow."""
    simulation.advance(PROPOSE_TIMEOUT_S + 0.2)
    for worker in simulation.workers:
        worker.crash()
    simulation.advance(0.3)


@pytest.mark.parametrize("delay", [slow_commit, unconfirmed_leader, restarted_worker])
@pytest.mark.parametrize("is_gang", [False, True], ids=["tasks", "gang"])
def test_start_that_commits_after_its_session_has_ended_is_carried_out(
    simulation: GraphSimulation, delay: Delay, is_gang: bool
) -> None:
    """Guards against a task that is recorded as started and whose start is never ordered.

    The next session of the same leader had loaded the state before the commit. The task was not
    ready any more, and no agent was told to start it, for as long as this leader led.
    """
    first_term = simulation.log.term
    first_session = simulation.leader.graph_session
    simulation.log.holds_runs = True
    simulation.submit(GRAPH, (Step(TASKS, Resources(1000, 500, 1), 2.0, is_gang=is_gang),))
    simulation.advance(0.1)
    assert simulation.log.held
    delay(simulation)
    assert simulation.leader.graph_session is not first_session
    simulation.log.after_round_trip(simulation.log.release)
    simulation.advance(30.0)
    assert simulation.log.term == first_term
    state = simulation.state_of(GRAPH)
    assert isinstance(state, GraphState) and state.state == "done"
