"""Evacuations of data centres while one thing fails."""

from collections.abc import Iterator

import pytest

from cicadatray.internal.wire.messages.graph_messages import GraphState
from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.step import Step
from cover.control.gangs.simulated_control import EVACUATION_DRAIN_S, EVACUATION_START_LIMIT_S
from cover.taskgraphs.graph_simulation import GraphSimulation
from cover.taskgraphs.simulated_task_worker import MAX_ORDER_DELAY_S, SimulatedTaskWorker

GRAPH = "0000000000000001"
SMALL = Resources(1000, 1000, 1)
WHOLE = Resources(8000, 8000, 8)
# The simulated workers always report half of the work as done, so that the remaining time of a task
# seems to grow as it runs. Short tasks end in time all the same.
SHORT_S = EVACUATION_DRAIN_S / 2
LONG_S = 30.0
# An order is confirmed within this time in a steady state.
CONFIRMED_WITHIN_S = 1.0
# An agent has reported by then that its worker lists the runs; later ones count as not started.
LISTED_WITHIN_S = 1.5
# A stop, the commit of its end, a round and a new start.
MOVED_WITHIN_S = 3.0


@pytest.fixture
def simulation() -> Iterator[GraphSimulation]:
    simulation = GraphSimulation(seed=5, size=4)
    try:
        simulation.advance(2.0)
        yield simulation
    finally:
        simulation.close()


def workers_in(simulation: GraphSimulation, *data_centres: str) -> list[SimulatedTaskWorker]:
    return [worker for worker in simulation.workers if worker.data_centre in data_centres]


def count_running(simulation: GraphSimulation, *data_centres: str) -> int:
    return sum(len(worker.running) for worker in workers_in(simulation, *data_centres))


def find_busy(simulation: GraphSimulation) -> tuple[str, str]:
    """Returns a data centre in which work runs, and the other one.

    Agents that call at the same moment are known in any order, which decides where work is placed.
    """
    busy = next(name for name in ("d0", "d1") if count_running(simulation, name))
    return busy, "d1" if busy == "d0" else "d0"


def evacuate(simulation: GraphSimulation, *data_centres: str) -> None:
    for data_centre in data_centres:
        simulation.evacuate(data_centre)
    simulation.advance(CONFIRMED_WITHIN_S)
    assert set(data_centres) <= set(simulation.evacuated_s)


def state_of(simulation: GraphSimulation) -> str:
    state = simulation.state_of(GRAPH)
    assert isinstance(state, GraphState)
    return state.state


@pytest.mark.parametrize("data_centres", [("d0",), ("d1",), ("d0", "d1")])
@pytest.mark.parametrize("urgent", [False, True])
def test_nothing_starts_until_the_withdrawal(
    simulation: GraphSimulation, data_centres: tuple[str, ...], urgent: bool
) -> None:
    """Guards against starts in an evacuated data centre, and work that waits for ever after it."""
    evacuate(simulation, *data_centres)
    simulation.task_duration_s = 30.0
    simulation.submit(GRAPH, (Step(32, SMALL, 30.0),), urgent=urgent)
    for _ in range(16):
        simulation.advance(0.25)
        assert count_running(simulation, *data_centres) == 0
    others = len(simulation.workers) - len(workers_in(simulation, *data_centres))
    assert count_running(simulation, "d0", "d1") == 8 * others
    for data_centre in data_centres:
        simulation.take_back(data_centre)
    simulation.advance(MOVED_WITHIN_S)
    assert count_running(simulation, "d0", "d1") == 32


@pytest.mark.parametrize(
    ("duration_s", "moves"),
    [(SHORT_S, False), (LONG_S, True)],
    ids=["ends in time", "would end later"],
)
def test_running_work_ends_there_or_moves_at_once(
    simulation: GraphSimulation, duration_s: float, moves: bool
) -> None:
    """Guards against work that is thrown away just before its end, or holds a data centre."""
    simulation.task_duration_s = duration_s
    simulation.submit(GRAPH, (Step(10, SMALL, duration_s),))
    simulation.advance(LISTED_WITHIN_S)
    busy, other = find_busy(simulation)
    evacuate(simulation, busy)
    simulation.advance(MOVED_WITHIN_S - CONFIRMED_WITHIN_S)
    assert count_running(simulation, busy) == 0
    assert (count_running(simulation, other) == 10) is moves
    simulation.advance(duration_s + MOVED_WITHIN_S)
    assert state_of(simulation) == "done"
    assert max(run.run for run in simulation.starts) == (2 if moves else 1)


def test_work_that_outlasts_its_estimate_moves(simulation: GraphSimulation) -> None:
    """Guards against a task with a wrong estimate that holds a data centre for hours."""
    simulation.task_duration_s = 30.0
    simulation.submit(GRAPH, (Step(10, SMALL, 1.0),))
    simulation.advance(LISTED_WITHIN_S)
    busy, other = find_busy(simulation)
    evacuate(simulation, busy)
    assert count_running(simulation, busy)
    simulation.advance(EVACUATION_DRAIN_S + MOVED_WITHIN_S)
    assert (count_running(simulation, busy), count_running(simulation, other)) == (0, 10)


@pytest.mark.parametrize("fault", ["", "frozen", "cut off", "frozen and cut off", "restarted"])
@pytest.mark.parametrize("loses_orders", [False, True], ids=["late worker", "lost orders"])
def test_agent_that_holds_a_start_sends_none_after_the_bound(
    simulation: GraphSimulation, fault: str, loses_orders: bool
) -> None:
    """Guards against a start that an agent holds while it is paused or hears nothing.

    The simulation checks when each start was sent. A late worker carries out orders that it did not
    answer up to 6 s later; such runs must be stopped.
    """
    numbers = [n for n, worker in enumerate(simulation.workers) if worker.data_centre == "d0"]
    for number in numbers:
        simulation.workers[number].is_unresponsive = True
        simulation.workers[number].loses_orders = loses_orders
    simulation.task_duration_s = 2 * LONG_S
    simulation.submit(GRAPH, (Step(32, SMALL, 2 * LONG_S),))
    simulation.advance(0.3)
    assert all(simulation.agents[number].agent.table.runs for number in numbers)
    for number in numbers:
        simulation.agents[number].process.is_frozen = "frozen" in fault
        if "cut off" in fault:
            simulation.cut_agent(number)
        if fault == "restarted":
            simulation.restart_agent(number)
    evacuate(simulation, "d0")
    simulation.advance(EVACUATION_START_LIMIT_S + 0.1)
    for number in numbers:
        simulation.workers[number].is_unresponsive = False
        simulation.agents[number].process.thaw()
    # An agent that is cut off hears nothing, and its permission must not come back by itself.
    simulation.advance(2.0)
    simulation.layer.cuts.clear()
    simulation.advance(MAX_ORDER_DELAY_S + MOVED_WITHIN_S)
    assert count_running(simulation, "d0") == 0
    assert count_running(simulation, "d1") == 16


@pytest.mark.parametrize("order_first", [False, True], ids=["before the order", "after the order"])
def test_change_of_the_leader(simulation: GraphSimulation, order_first: bool) -> None:
    """Guards against a new leader that does not know the order, or stops what may end there."""
    simulation.task_duration_s = SHORT_S
    simulation.submit(GRAPH, (Step(10, SMALL, SHORT_S),))
    simulation.advance(2.0)
    busy, _ = find_busy(simulation)
    if order_first:
        evacuate(simulation, busy)
    simulation.change_leader()
    simulation.advance(0.5)
    if not order_first:
        evacuate(simulation, busy)
    simulation.submit("0000000000000002", (Step(22, SMALL, LONG_S),))
    simulation.advance(SHORT_S + MOVED_WITHIN_S)
    assert state_of(simulation) == "done"
    assert {run.run for run in simulation.starts if run.task.graph_id == GRAPH} == {1}
    assert count_running(simulation, busy) == 0


def test_isolated_leader(simulation: GraphSimulation) -> None:
    """Guards against starts by a leader that does not know of its successor's order."""
    former = simulation.leader
    simulation.log.cut_members.add(former.name)
    simulation.task_duration_s = 60.0
    simulation.submit(GRAPH, (Step(32, SMALL, 60.0),))
    simulation.advance(2.0)
    assert simulation.leader is not former
    evacuate(simulation, "d0")
    simulation.submit("0000000000000002", (Step(32, SMALL, 60.0),))
    simulation.advance(EVACUATION_START_LIMIT_S)
    simulation.heal()
    simulation.advance(MOVED_WITHIN_S)
    assert count_running(simulation, "d0") == 0
    assert count_running(simulation, "d1") == 16


def test_gang_of_which_a_part_has_started_moves_as_a_whole(simulation: GraphSimulation) -> None:
    """Guards against members that wait for one that is never started."""
    for worker in workers_in(simulation, "d0"):
        worker.is_unresponsive = True
    simulation.submit(GRAPH, (Step(2, WHOLE, 2.0, is_gang=True),))
    simulation.advance(0.5)
    assert state_of(simulation) == "running"
    evacuate(simulation, "d0")
    simulation.advance(MAX_ORDER_DELAY_S + MOVED_WITHIN_S + simulation.task_duration_s)
    for worker in workers_in(simulation, "d0"):
        worker.is_unresponsive = False
    simulation.advance(2 * MOVED_WITHIN_S + simulation.task_duration_s)
    assert state_of(simulation) == "done"


@pytest.mark.parametrize("data_centres", [(), ("d0",), ("d0", "d1")])
def test_metrics_of_evacuations(simulation: GraphSimulation, data_centres: tuple[str, ...]) -> None:
    """Guards against an operator who cannot see when a data centre is empty."""
    simulation.task_duration_s = 3.5
    simulation.submit(GRAPH, (Step(32, SMALL, 3.5),))
    simulation.advance(LISTED_WITHIN_S)
    evacuate(simulation, *data_centres)
    text = simulation.metrics_text()
    assert f"cicadatray_evacuated_data_centres {len(data_centres)}" in text
    for data_centre in data_centres:
        label = f'cicadatray_evacuated_runs_left{{data_centre="{data_centre}"}}'
        assert f"{label} 16" in text
    simulation.advance(MOVED_WITHIN_S)
    assert 'runs_left{data_centre="d0"} 0' in simulation.metrics_text() or not data_centres
