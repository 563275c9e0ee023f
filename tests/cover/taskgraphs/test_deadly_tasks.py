"""Tasks that crash each worker that starts them, and innocent tasks whose workers crash."""

from collections.abc import Callable, Iterator

import pytest

from cicadatray.internal.wire.messages.graph_messages import GraphState
from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.step import Step
from cover.taskgraphs.graph_simulation import GraphSimulation

DEADLY = "00000000000000dd"
SMALL = Step(1, Resources(1000, 500, 1), 2.0)
WHOLE = Step(1, Resources(8000, 8000, 8), 2.0)
PAIR = Step(2, Resources(4000, 2000, 4), 2.0)
GANG = Step(2, Resources(4000, 2000, 4), 2.0, is_gang=True)
WORKERS = 4
# The platform tolerates two more starts after three workers have crashed under a task.
MOST_CRASHES = 5
# A crashed worker is back within 3.2 s and announces itself within 1 s.
GIVEN_UP_WITHIN_S = 30.0
# Rounds of 0.05 s.
ROUNDS_UNTIL_RESTART = 200

Fault = Callable[[GraphSimulation], None]


@pytest.fixture
def simulation() -> Iterator[GraphSimulation]:
    simulation = GraphSimulation(seed=7, size=WORKERS)
    simulation.advance(2.0)
    yield simulation
    simulation.close()


def nothing(simulation: GraphSimulation) -> None:
    """Injects no fault."""


def change_leader(simulation: GraphSimulation) -> None:
    simulation.change_leader()


def restart_agents(simulation: GraphSimulation) -> None:
    for number in range(WORKERS):
        simulation.restart_agent(number)


def state_of(simulation: GraphSimulation, graph_id: str) -> str:
    state = simulation.state_of(graph_id)
    assert isinstance(state, GraphState)
    return state.state


def submit_innocent(simulation: GraphSimulation, count: int, step: Step = SMALL) -> list[str]:
    """Submits graphs of one step and returns their identifiers."""
    graph_ids = [f"{number:016x}" for number in range(1, count + 1)]
    for graph_id in graph_ids:
        simulation.submit(graph_id, (step,))
    return graph_ids


@pytest.mark.parametrize(
    "step", [SMALL, WHOLE, PAIR, GANG], ids=["small", "whole", "siblings", "gang"]
)
@pytest.mark.parametrize("fault", [nothing, change_leader, restart_agents])
@pytest.mark.parametrize("crash_delay_s", [0.0, 0.01, 0.7, 4.0])
def test_task_that_crashes_its_workers_is_given_up(
    simulation: GraphSimulation, step: Step, fault: Fault, crash_delay_s: float
) -> None:
    """Guards against a task that crashes worker after worker until the end of the day."""
    simulation.task_duration_s = 60.0
    for worker in simulation.workers:
        worker.crash_delay_s = crash_delay_s
    simulation.submit_deadly(DEADLY, (step,))
    for _ in range(12):
        simulation.advance(GIVEN_UP_WITHIN_S / 6)
        fault(simulation)
    crashes = [lost for worker in simulation.workers for lost in worker.crashes]
    runs = [run for lost in crashes for run in lost if run.task.index == 0]
    assert len(runs) <= MOST_CRASHES
    simulation.advance(1.0)
    assert state_of(simulation, DEADLY) == "failed"


@pytest.mark.parametrize("deadly", [1, 3])
def test_neighbours_lose_work_only_to_the_first_start_of_a_deadly_task(
    simulation: GraphSimulation, deadly: int
) -> None:
    """Guards against a suspect task that is started beside the running work of other jobs.

    Each of its crashes threw away the work of all its neighbours.
    """
    simulation.task_duration_s = 6.0
    innocent = submit_innocent(simulation, 12)
    simulation.advance(1.5)
    for number in range(deadly):
        simulation.submit_deadly(f"{DEADLY[:-1]}{number}", (SMALL,))
    simulation.advance(60.0)
    lost = sum(simulation.crashes_under(graph_id) for graph_id in innocent)
    # Eight innocent tasks fit on a worker, and each deadly task may crash one of these once.
    assert lost <= 8 * deadly
    assert max(simulation.crashes_under(graph_id) for graph_id in innocent) <= deadly
    assert {state_of(simulation, graph_id) for graph_id in innocent} == {"done"}


def test_suspect_task_gets_its_turn_on_full_workers(simulation: GraphSimulation) -> None:
    """Guards against a suspect task that waits for an empty worker while others take all room."""
    simulation.task_duration_s = 3.0
    simulation.submit_deadly(DEADLY, (SMALL,))
    for number in range(120):
        simulation.submit(f"{number + 1:016x}", (Step(4, Resources(2000, 500, 2), 3.0),))
        simulation.advance(0.5)
    assert state_of(simulation, DEADLY) == "failed"


@pytest.mark.parametrize("after_s", [0.0, 0.5, 2.5], ids=["starting", "young", "at work"])
@pytest.mark.parametrize("step", [SMALL, GANG], ids=["single", "gang"])
@pytest.mark.parametrize("fault", [nothing, change_leader, restart_agents])
def test_power_loss_of_all_workers_gives_up_no_job(
    simulation: GraphSimulation, step: Step, after_s: float, fault: Fault
) -> None:
    """Guards against failing innocent jobs whose workers crashed for another reason."""
    simulation.task_duration_s = 4.0
    innocent = submit_innocent(simulation, 8, step)
    simulation.advance(0.3 + after_s)
    for _ in range(2):
        for worker in simulation.workers:
            worker.crash()
        fault(simulation)
        simulation.advance(8.0)
    simulation.advance(30.0)
    assert {state_of(simulation, graph_id) for graph_id in innocent} == {"done"}


@pytest.mark.parametrize("up_s", [0.1, 0.4, 0.9, 1.4])
@pytest.mark.parametrize("crashes", [3, 4])
def test_worker_that_crashes_by_itself_gives_up_no_job(
    simulation: GraphSimulation, up_s: float, crashes: int
) -> None:
    """Guards against a job that fails because the one worker with room goes down and up.

    A task that was on a worker when it crashed starts only on an idle one, which is the same.
    """
    simulation.task_duration_s = 60.0
    submit_innocent(simulation, WORKERS - 1, WHOLE)
    simulation.advance(0.5)
    flapping = next(worker for worker in simulation.workers if not worker.running)
    simulation.submit(DEADLY, (WHOLE,))
    for _ in range(crashes):
        for _ in range(ROUNDS_UNTIL_RESTART):
            if not flapping.running:
                simulation.advance(0.05)
        simulation.advance(up_s)
        flapping.crash()
    simulation.advance(90.0)
    assert state_of(simulation, DEADLY) == "done"


def test_work_does_not_wait_for_a_worker_that_is_down(simulation: GraphSimulation) -> None:
    """Guards against urgent work that starts late because its worker has just crashed."""
    for worker in simulation.workers[:2]:
        worker.crash()
    simulation.submit("0000000000000001", (SMALL,), urgent=True)
    simulation.advance(1.0)
    assert any(worker.running for worker in simulation.workers)


def test_innocent_tasks_are_soon_trusted_again(simulation: GraphSimulation) -> None:
    """Guards against jobs that run one after the other once they have shared a crash.

    Twelve tasks lose their workers right after their start. Alone on a worker, each shows within
    two seconds that it is harmless; after that the worker takes others again.
    """
    simulation.task_duration_s = 2.0
    innocent = submit_innocent(simulation, 12)
    simulation.advance(0.2)
    for worker in simulation.workers:
        worker.crash()
    simulation.advance(45.0)
    assert {state_of(simulation, graph_id) for graph_id in innocent} == {"done"}
