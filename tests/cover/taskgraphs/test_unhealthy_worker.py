"""Workers that answer but refuse to start anything."""

from unittest.mock import patch

import pytest

from cicadatray.internal.agent.tasks.worker_port import StartAnswer
from cicadatray.internal.wire.messages.graph_messages import GraphState
from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.step import Step
from cover.taskgraphs.graph_simulation import GraphSimulation
from cover.taskgraphs.simulated_task_worker import SimulatedTaskWorker

GRAPH = "00000000000000aa"
# The platform's operators allow a job to rest for 3 s while it could run; the task works for 2 s.
ALLOWED_S = 5.5


@pytest.mark.parametrize("number", [0, 1])
@pytest.mark.parametrize("answer", [StartAnswer.UNHEALTHY, StartAnswer.REFUSED])
def test_task_starts_elsewhere_if_a_worker_refuses_it(number: int, answer: StartAnswer) -> None:
    """Guards against a task that is placed again and again on a worker that refuses each start."""
    simulation = GraphSimulation(seed=7, size=2)
    accept = SimulatedTaskWorker.start

    def start(worker: SimulatedTaskWorker, *arguments: object) -> StartAnswer:
        if worker is simulation.workers[number]:
            return answer
        return accept(worker, *arguments)  # type: ignore[arg-type]

    try:
        simulation.advance(2.0)
        with patch.object(SimulatedTaskWorker, "start", start):
            simulation.submit(GRAPH, (Step(1, Resources(1000, 500, 1), 2.0),))
            simulation.advance(ALLOWED_S)
            state = simulation.state_of(GRAPH)
            assert isinstance(state, GraphState) and state.state == "done"
    finally:
        simulation.close()
