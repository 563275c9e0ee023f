"""Starts and ends whose commit takes longer than the session of the leader that proposed them."""

import asyncio
from collections.abc import Callable, Iterator
from types import SimpleNamespace
from typing import Any

import pytest

from cicadatray.internal.bench.virtual_time_loop import run_virtual
from cicadatray.internal.control.control_state import ControlState
from cicadatray.internal.control.graphs.graph_session import GraphSession
from cicadatray.internal.control.graphs.recorded_runs import LateCommits
from cicadatray.internal.control.leader_session import PROPOSE_TIMEOUT_S
from cicadatray.internal.wire.messages.graph_messages import (
    GraphState,
    PlacedEnd,
    RecordRuns,
    RunEnd,
)
from cicadatray.scheduling.taskgraphs.ready_work import find_ready_work
from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.run_outcome import RunOutcome
from cicadatray.scheduling.taskgraphs.start_limits import StartLimits
from cicadatray.scheduling.taskgraphs.step import Step
from cicadatray.scheduling.taskgraphs.task_id import TaskId, TaskRun
from cover.taskgraphs.graph_simulation import GraphSimulation
from cover.taskgraphs.placement_helpers import ONE, make_graph
from cover.taskgraphs.test_graph_session import LEASES, call

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


@pytest.mark.parametrize("outcome", [RunOutcome.LOST, RunOutcome.STOPPED, RunOutcome.CLEARED])
def test_run_whose_end_commits_after_its_session_has_ended_is_not_ordered(
    outcome: RunOutcome,
) -> None:
    """Guards against the start of a run that has ended, beside the next run of its task.

    The next session knew the run as one that may exist, and the agent had never heard of it.
    """

    async def main() -> None:
        graph = make_graph("g", Step(1, ONE, 5.0), 1)
        run = TaskRun(TaskId("g", 0, 0, 0), 1)
        graph.record_start(run.task, run.run, "w-1")
        state = ControlState()
        state.graphs.graphs["g"] = graph
        leader: Any = SimpleNamespace(
            state=state, started_s=0.0, term=4, now_s=lambda: asyncio.get_running_loop().time()
        )
        session = GraphSession(leader, LEASES, StartLimits())
        state.listeners.append(LateCommits(session).on_command_applied)
        worker = session.handle_sync(call())
        assert worker is not None
        assert [order.run for order in session.orders_for(worker).starts] == [run]
        command = RecordRuns(now_s=1.0, ends=(PlacedEnd(RunEnd(run, outcome), "w-1"),))
        state.apply(1, state.encode_command(command))
        assert [work.run for work in find_ready_work(graph, 2.0)] == [2]
        assert session.orders_for(worker).starts == ()

    run_virtual(main())
