"""Runs that end on a worker which lists only some of its ends at once.

Control may need several replies for the starts that an agent has not reported.
"""

from collections.abc import Callable, Iterator
from typing import Any

import pytest
from structlog.testing import capture_logs

from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.step import Step
from cover.taskgraphs.graph_simulation import ELECTION_S, GraphSimulation
from cover.taskgraphs.simulated_task_worker import ENDS_PER_ANSWER as ALL_ENDS

ENDS_PER_ANSWER = 10
# The last list is full, so it may lack an end, although all of them are listed.
TASKS = 4 * ENDS_PER_ANSWER
GRAPH = f"{1:016x}"
STEPS = (Step(TASKS, Resources(100, 100, 0), 2.0),)
JOIN_S = 2.0
START_S = 1.5
TASK_S = 4.0
# Two lists without a run, its stop, and one start after the other.
REPAIR_S = 3.0


@pytest.fixture(params=[TASKS, 7], ids=["whole orders", "orders in parts"])
def simulation(request: pytest.FixtureRequest) -> Iterator[GraphSimulation]:
    simulation = GraphSimulation(seed=1, size=1, ends_per_answer=ENDS_PER_ANSWER)
    simulation.limit_starts(request.param)
    simulation.task_duration_s = TASK_S
    simulation.advance(JOIN_S)
    simulation.submit(GRAPH, STEPS)
    simulation.advance(START_S)
    assert len(simulation.starts) == TASKS
    yield simulation
    simulation.close()


@pytest.fixture
def lines() -> Iterator[list[Any]]:
    with capture_logs() as captured:
        yield captured


def cut(simulation: GraphSimulation) -> None:
    """Cuts the agent off until all tasks have ended and more than one list is full of ends."""
    simulation.cut_agent(0)
    simulation.advance(TASK_S)
    assert not simulation.workers[0].running


def lose_control(simulation: GraphSimulation) -> None:
    cut(simulation)
    simulation.heal()


def change_leader(simulation: GraphSimulation) -> None:
    cut(simulation)
    simulation.change_leader()
    simulation.heal()


def restart_agent(simulation: GraphSimulation) -> None:
    cut(simulation)
    simulation.restart_agent(0)
    simulation.heal()


def restart_agent_and_change_leader(simulation: GraphSimulation) -> None:
    cut(simulation)
    simulation.restart_agent(0)
    simulation.change_leader()
    simulation.heal()


def restart_agent_again_and_again(simulation: GraphSimulation) -> None:
    lose_control(simulation)
    for _ in range(4):
        simulation.restart_agent(0)
        simulation.advance(0.15)


def leave_stops_unanswered(simulation: GraphSimulation) -> None:
    """Lets the agent order stops of runs that have ended, and lets the worker answer them late."""
    cut(simulation)
    simulation.workers[0].is_unresponsive = True
    simulation.restart_agent(0)
    simulation.advance(ELECTION_S)
    simulation.heal()


@pytest.mark.parametrize(
    "trouble",
    [
        lose_control,
        change_leader,
        restart_agent,
        restart_agent_and_change_leader,
        restart_agent_again_and_again,
        leave_stops_unanswered,
    ],
    ids=lambda trouble: trouble.__name__,
)
def test_no_task_is_repeated_because_its_end_is_not_listed_yet(
    simulation: GraphSimulation, lines: list[Any], trouble: Callable[[GraphSimulation], None]
) -> None:
    """Guards against starting tasks again whose ends do not fit in the worker's list.

    More tasks end than fit in several lists before control can store an end.
    """
    trouble(simulation)
    simulation.advance(2 * TASK_S)
    (line,) = [line for line in lines if line["event"] == "graph ended"]
    assert (line["outcome"], line["attempts"], line["runs"]) == ("on_time", 1, TASKS)
    assert not [line for line in lines if line["event"] == "run cleared"]


def test_all_ends_are_acknowledged_to_a_worker_without_runs(simulation: GraphSimulation) -> None:
    """Guards against a worker that keeps its last ends, and hides later ones behind them."""
    lose_control(simulation)
    simulation.advance(2 * TASK_S)
    (worker,) = simulation.workers
    assert worker.noted_number == TASKS


def test_cancelled_runs_whose_ends_are_not_listed_yet_are_all_settled(
    simulation: GraphSimulation,
) -> None:
    """Guards against capacity that stays taken by stopped runs whose ends were listed late."""
    lose_control(simulation)
    simulation.cancel(GRAPH)
    simulation.advance(REPAIR_S)
    (agent,) = simulation.agents
    assert not agent.agent.table.runs
    assert not simulation.leader.graph_session.ordered_runs.get("w0-1")


@pytest.mark.parametrize("is_agent_restarted", [False, True])
def test_run_that_the_worker_lost_beside_unlisted_ends_is_repeated(
    simulation: GraphSimulation, lines: list[Any], is_agent_restarted: bool
) -> None:
    """Guards against a task that is never started again because a list of ends was once full."""
    (worker,) = simulation.workers
    lost = sorted(worker.running, key=str)[TASKS // 2]
    worker.lose(lost)
    cut(simulation)
    if is_agent_restarted:
        simulation.restart_agent(0)
    simulation.heal()
    simulation.advance(REPAIR_S + TASK_S)
    (line,) = [line for line in lines if line["event"] == "graph ended"]
    assert (line["outcome"], line["attempts"], line["runs"]) == ("on_time", 2, TASKS + 1)


@pytest.mark.parametrize("is_leader_changed", [False, True])
def test_listed_ends_of_a_replaced_worker_are_stored(
    simulation: GraphSimulation, lines: list[Any], is_leader_changed: bool
) -> None:
    """Guards against repeating tasks, and blaming them for a crash, that are known to be done.

    The worker started again before control could store the ends that its agent had seen.
    """
    (worker,) = simulation.workers
    worker.ends_per_answer = ALL_ENDS
    cut(simulation)
    worker.restart()
    simulation.advance(1.0)
    if is_leader_changed:
        simulation.change_leader()
    simulation.heal()
    simulation.advance(2 * TASK_S)
    (line,) = [line for line in lines if line["event"] == "graph ended"]
    assert (line["attempts"], line["runs"], line["crashed"]) == (1, TASKS, 0)
    assert not [line for line in lines if line["event"] == "run lost with its worker"]


def test_partial_answers_are_logged_and_counted(
    simulation: GraphSimulation, lines: list[Any]
) -> None:
    """Operators must see that a worker has more ends than it lists, and until when."""
    lose_control(simulation)
    simulation.advance(TASK_S)
    events = [line["event"] for line in lines]
    assert events.count("worker may have unlisted ends") == 1
    assert events.count("worker may have unlisted ends, ended") == 1
    (sample,) = simulation.agents[0].agent.partial_views.render()
    assert float(sample.split()[-1]) >= TASKS / ENDS_PER_ANSWER
