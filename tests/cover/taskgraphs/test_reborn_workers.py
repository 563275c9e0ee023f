"""Workers that start again while their agents restart and the leader changes."""

from collections.abc import Callable

import pytest

from cicadatray.internal.wire.messages.graph_messages import GraphState
from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.step import Step
from cover.taskgraphs.graph_simulation import GraphSimulation

WORKERS = 3
TASK_DURATION_S = 2.0
STEP = Step(6, Resources(4000, 2000, 4), TASK_DURATION_S)

Fault = Callable[[GraphSimulation], None]


def restart_workers(simulation: GraphSimulation) -> None:
    for worker in simulation.workers:
        worker.restart()


def crash_workers(simulation: GraphSimulation) -> None:
    for worker in simulation.workers:
        worker.crash()


def restart_agents(simulation: GraphSimulation) -> None:
    for number in range(WORKERS):
        simulation.restart_agent(number)


def change_leader(simulation: GraphSimulation) -> None:
    simulation.change_leader()


@pytest.mark.parametrize("workers", [restart_workers, crash_workers])
@pytest.mark.parametrize(
    "others",
    [(), (restart_agents,), (change_leader,), (restart_agents, change_leader)],
    ids=["workers only", "agents too", "leader too", "all three"],
)
@pytest.mark.parametrize("before_end_s", [1.5, 0.1, 0.02, -0.02, -0.06, -0.2])
def test_task_is_done_once_when_everything_around_it_starts_again(
    workers: Fault, others: tuple[Fault, ...], before_end_s: float
) -> None:
    """Guards against a task that starts again after its end was taken note of.

    The faults come just before and just after its end: while the end is listed, reported, stored
    and acknowledged. Any start of a task that is running or noted as done fails the simulation.
    """
    simulation = GraphSimulation(seed=5, size=WORKERS)
    try:
        simulation.advance(2.0)
        simulation.task_duration_s = TASK_DURATION_S
        # The ends of this graph are acknowledged to the processes before.
        simulation.submit("0000000000000002", (STEP,))
        simulation.advance(4 * TASK_DURATION_S)
        simulation.submit("0000000000000001", (STEP,))
        while not any(worker.running for worker in simulation.workers):
            simulation.advance(0.01)
        simulation.advance(TASK_DURATION_S - before_end_s)
        workers(simulation)
        for fault in others:
            fault(simulation)
        simulation.advance(45.0)
        state = simulation.state_of("0000000000000001")
        assert isinstance(state, GraphState) and state.state == "done"
    finally:
        simulation.close()
