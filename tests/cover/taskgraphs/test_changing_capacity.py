"""Workers whose capacity shrinks and grows again while they run tasks."""

import pytest

from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.step import Step
from cover.taskgraphs.graph_simulation import ANNOUNCE_S, GraphSimulation
from cover.taskgraphs.simulated_task_worker import CAPACITY

# A smaller capacity counts this long after the worker has had it, and one announcement later.
CONTACT_S = 3.0
# Starts within one announcement, a call of the agent and a round.
GROWN_WITHIN_S = ANNOUNCE_S + 1.0
SMALL = Resources(1000, 1000, 1)
LONG_S = 40.0


@pytest.mark.parametrize(
    "shrunk",
    [
        Resources(4000, 8000, 8),
        Resources(8000, 4000, 8),
        Resources(8000, 8000, 4),
        Resources(8000, 8000, 0),
    ],
    ids=["processor", "memory", "accelerators", "no accelerators"],
)
@pytest.mark.parametrize("urgent", [False, True])
def test_shrunk_worker_starts_nothing_over_its_capacity(shrunk: Resources, urgent: bool) -> None:
    """Guards against starts that bring a worker over what it can hold now.

    Its running tasks exceed the smaller capacity already, and each end makes room only once they
    fit again. When the worker has grown, waiting work starts at once.
    """
    simulation = GraphSimulation(seed=3, size=1)
    worker = simulation.workers[0]
    try:
        simulation.advance(2.0)
        simulation.task_duration_s = LONG_S
        simulation.submit("0000000000000001", (Step(6, SMALL, LONG_S),))
        simulation.advance(1.0)
        assert len(worker.running) == 6
        worker.capacity = shrunk
        simulation.advance(CONTACT_S + ANNOUNCE_S)
        before = set(worker.running)
        simulation.submit("0000000000000002", (Step(4, SMALL, LONG_S),), urgent=urgent)
        for _ in range(40):
            simulation.advance(0.25)
            has_started = not before.issuperset(worker.running)
            assert not has_started or SMALL.fit_count(shrunk) >= len(worker.running)
        worker.capacity = CAPACITY
        simulation.advance(GROWN_WITHIN_S)
        assert len(worker.running) >= 6
        assert any(run.task.graph_id.endswith("2") for run in worker.running)
    finally:
        simulation.close()
