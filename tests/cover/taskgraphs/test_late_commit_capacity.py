"""Plans of a session while starts of the former session are still in the log."""

from cicadatray.internal.control.leader_session import PROPOSE_TIMEOUT_S
from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.step import Step
from cicadatray.scheduling.taskgraphs.task_graph import Repetition
from cover.taskgraphs.graph_simulation import WALL_START_S, GraphSimulation

TIMED_GRAPH = "00000000000000aa"
GRAPH = "00000000000000bb"
# Both graphs need more than half of the only worker.
STEPS = (Step(1, Resources(1000, 500, 6), 2.0),)


def test_late_start_is_not_ordered_beside_one_that_was_planned_without_it() -> None:
    """Guards against two runs on one worker that together exceed its capacity.

    The start of the former session commits behind the plan of the new one, which has given the
    same room to work that became due in the meantime.
    """
    simulation = GraphSimulation(seed=7, size=1)
    try:
        simulation.advance(2.0)
        due_s = WALL_START_S + simulation.loop.time() + 1.5
        simulation.submit(TIMED_GRAPH, STEPS, urgent=True, repetition=Repetition(1, due_s, 0.0))
        simulation.advance(0.3)
        first_session = simulation.leader.graph_session
        simulation.log.holds_runs = True
        simulation.submit(GRAPH, STEPS)
        simulation.advance(0.1)
        assert simulation.log.held
        simulation.advance(PROPOSE_TIMEOUT_S + 1.0)
        assert simulation.leader.graph_session is not first_session
        simulation.log.after_round_trip(simulation.log.release)
        simulation.advance(30.0)
        assert simulation.open_graphs() == {}
    finally:
        simulation.close()
