"""Placements of gangs whose commit takes longer than the session that proposed them."""

from cicadatray.internal.control.leader_session import PROPOSE_TIMEOUT_S
from cover.control.gangs.gang_simulation import GangSimulation

RUN_S = 1.0


def test_gang_whose_placement_commits_late_is_started() -> None:
    """Guards against a job that is recorded as placed and that no session starts.

    The next session of the same leader had loaded the state before the commit.
    """
    simulation = GangSimulation(seed=7, size=2)
    try:
        simulation.advance(4.0)
        term, first_session = simulation.log.term, simulation.leader.session
        simulation.log.holds_runs = True
        simulation.in_loop(lambda: simulation.submit("job", 4, RUN_S))
        simulation.advance(0.5)
        assert simulation.log.held
        simulation.advance(PROPOSE_TIMEOUT_S + 0.6)
        assert simulation.leader.session is not first_session
        simulation.log.after_round_trip(simulation.log.release)
        simulation.advance(20.0)
        assert simulation.log.term == term
        assert simulation.log.state.jobs["job"].state.value == "completed"
    finally:
        simulation.close()
