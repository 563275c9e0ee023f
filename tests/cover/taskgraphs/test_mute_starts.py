"""Workers that answer observations but no orders to start."""

import asyncio
from unittest.mock import patch

import pytest

from cicadatray.internal.agent.tasks.errors import WorkerUnansweredError
from cicadatray.internal.agent.tasks.worker_port import StartAnswer
from cicadatray.internal.wire.messages.graph_messages import GraphState, RunOrder
from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.step import Step
from cover.taskgraphs.graph_simulation import GraphSimulation
from cover.taskgraphs.simulated_task_worker import SimulatedTaskWorkerPort

GRAPH = "00000000000000aa"
# An order that is lost, the doubt about it and the task's work of 2 s.
ALLOWED_S = 6.0


@pytest.mark.parametrize("number", [0, 1])
@pytest.mark.parametrize("answer_s", [0.0, 0.8], ids=["error", "time-out"])
def test_task_starts_elsewhere_if_no_start_is_answered(number: int, answer_s: float) -> None:
    """Guards against a start that is repeated for good on a worker that answers everything else."""
    simulation = GraphSimulation(seed=7, size=2)
    deliver = SimulatedTaskWorkerPort.start

    async def start(
        port: SimulatedTaskWorkerPort, order: RunOrder, token: int, lease_until_s: float
    ) -> StartAnswer:
        if port.worker is simulation.workers[number]:
            await asyncio.sleep(answer_s)
            raise WorkerUnansweredError("run-start returned status 500")
        return await deliver(port, order, token, lease_until_s)

    try:
        simulation.advance(2.0)
        with patch.object(SimulatedTaskWorkerPort, "start", start):
            simulation.submit(GRAPH, (Step(1, Resources(1000, 500, 1), 2.0),))
            simulation.advance(ALLOWED_S)
            state = simulation.state_of(GRAPH)
            assert isinstance(state, GraphState) and state.state == "done"
    finally:
        simulation.close()
