"""Work on the workers while no agent can reach control."""

from collections.abc import Iterator
from typing import Any

import pytest
from structlog.testing import capture_logs

from cicadatray.internal.control.graphs.task_leases import TaskLeases
from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.step import Step
from cover.taskgraphs.graph_simulation import GraphSimulation
from cover.taskgraphs.simulated_task_worker import LONGEST_LEASE_S

GRAPH = f"{1:016x}"
TASKS = (Step(2, Resources(8000, 8000, 8), 15.0),)
GANG = (Step(2, Resources(8000, 8000, 8), 15.0, is_gang=True),)
JOIN_S = 2.0
TASK_S = 20.0
# A power loss of all control instances for 6 s, their restart and an election.
OUTAGE_S = 7.5


@pytest.fixture
def simulation() -> Iterator[GraphSimulation]:
    simulation = GraphSimulation(seed=1, size=2)
    simulation.task_duration_s = TASK_S
    simulation.advance(JOIN_S)
    yield simulation
    simulation.close()


@pytest.fixture
def lines() -> Iterator[list[Any]]:
    with capture_logs() as captured:
        yield captured


def cut_all_agents(simulation: GraphSimulation, duration_s: float) -> None:
    for number in range(len(simulation.agents)):
        simulation.cut_agent(number)
    simulation.advance(duration_s)
    simulation.heal()


@pytest.mark.parametrize("steps", [TASKS, GANG], ids=["single tasks", "gang"])
def test_work_survives_an_outage_longer_than_a_worker_grants(
    simulation: GraphSimulation, lines: list[Any], steps: tuple[Step, ...]
) -> None:
    """A power loss of control for longer than the longest lease of a worker ended all work."""
    assert OUTAGE_S > LONGEST_LEASE_S
    simulation.submit(GRAPH, steps)
    simulation.advance(2.0)
    cut_all_agents(simulation, OUTAGE_S)
    simulation.advance(TASK_S)
    (line,) = [line for line in lines if line["event"] == "graph ended"]
    assert (line["attempts"], line["lapsed"], line["lost"]) == (1, 0, 0)


def test_work_ends_before_control_starts_it_again(
    simulation: GraphSimulation, lines: list[Any]
) -> None:
    """A worker that is renewed without the leave of control runs a task twice."""
    simulation.submit(GRAPH, TASKS)
    simulation.advance(2.0)
    cut_all_agents(simulation, TaskLeases().expiry_s + 1.0)
    simulation.advance(3 * TASK_S)
    (line,) = [line for line in lines if line["event"] == "graph ended"]
    assert line["attempts"] == 2
