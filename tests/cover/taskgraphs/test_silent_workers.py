"""Silent workers while the leader changes."""

from collections.abc import Iterator

import msgspec
import pytest

from cicadatray.internal.control.control_state import ControlState
from cicadatray.internal.control.graphs.placement_input import SILENCE_LIMIT_S
from cicadatray.internal.control.graphs.proposed_silences import ProposedSilences
from cicadatray.internal.control.graphs.silence_recorder import RECORD_INTERVAL_S
from cicadatray.internal.control.graphs.task_leases import TaskLeases
from cicadatray.internal.wire.messages.silence_messages import ClearSilence, RecordSilences
from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.step import Step
from cover.taskgraphs.graph_simulation import TICK_S, GraphSimulation

GRAPH = f"{1:016x}"
STEPS = {
    "task": (Step(1, Resources(8000, 8000, 8), 5.0),),
    "gang": (Step(2, Resources(8000, 8000, 8), 5.0, is_gang=True),),
}
TASK_S = 60.0
EXPIRY_S = TaskLeases(6.0).expiry_s
# A leader records silences once a second, so the last second before each change may be lost.
LOST_WITH_A_LEADER_S = 1.2
RESTART_S = 1.0


@pytest.fixture
def simulation() -> Iterator[GraphSimulation]:
    simulation = GraphSimulation(seed=3, size=3)
    simulation.task_duration_s = TASK_S
    simulation.advance(2.0)
    yield simulation
    simulation.close()


def last_run(simulation: GraphSimulation) -> int:
    """Returns the highest run number that any task was started with."""
    return max(run.run for run in simulation.starts)


def find_busy_worker(simulation: GraphSimulation) -> int:
    """Returns the number of the first worker with a run."""
    return next(n for n, worker in enumerate(simulation.workers) if worker.running)


def remove_machine(simulation: GraphSimulation, number: int) -> None:
    """Ends a worker and its agent for good."""
    simulation.agents[number].process.is_frozen = True
    simulation.workers[number].crash()
    simulation.agents[number].layer.cuts |= {
        (simulation.agents[number].name, name) for name in simulation.controls
    }


@pytest.mark.parametrize("shape", sorted(STEPS))
@pytest.mark.parametrize("term_s", [2.5, 4.0, 6.0])
def test_lease_of_a_lost_worker_expires_across_changes_of_leader(
    simulation: GraphSimulation, shape: str, term_s: float
) -> None:
    """Guards against a task that waits as long as leaders change, because its worker is gone.

    Each new leader waited for a whole lease. A gang waited 55 s with all workers idle while the
    leader changed six times.
    """
    simulation.submit(GRAPH, STEPS[shape])
    simulation.advance(1.0)
    remove_machine(simulation, find_busy_worker(simulation))
    lost_s = simulation.loop.time()
    changes = 0
    while last_run(simulation) == 1 and simulation.loop.time() < lost_s + 6 * EXPIRY_S:
        simulation.advance(0.25)
        if simulation.loop.time() >= lost_s + (changes + 1) * term_s:
            simulation.change_leader()
            changes += 1
    assert changes >= 2
    waited_s = simulation.loop.time() - lost_s
    assert waited_s <= EXPIRY_S + changes * LOST_WITH_A_LEADER_S + RESTART_S


def cut_busy_agent(simulation: GraphSimulation) -> int:
    """Starts a task, and cuts its agent off until the silence of its worker is proposed."""
    simulation.submit(GRAPH, STEPS["task"])
    simulation.advance(1.0)
    number = find_busy_worker(simulation)
    simulation.cut_agent(number)
    simulation.advance(SILENCE_LIMIT_S + RECORD_INTERVAL_S + 0.5)
    return number


def renewals(simulation: GraphSimulation, number: int, duration_s: float) -> int:
    """Returns how often the worker's lease is extended while time passes."""
    worker = simulation.workers[number]
    count = 0
    for _ in range(int(duration_s / TICK_S)):
        # The agent extends the worker's lease under the last lease of control, so that is compared.
        before_s = simulation.agents[number].agent.lease.granted_until_s
        simulation.advance(TICK_S)
        count += simulation.agents[number].agent.lease.granted_until_s > before_s
    assert worker.running
    return count


def assert_leases_hold(simulation: GraphSimulation, number: int) -> None:
    """Checks that the next leader waits for the lease of a worker that falls silent again.

    The simulation fails when a task starts while a run of it still works elsewhere.
    """
    simulation.cut_agent(number)
    worker = simulation.workers[number]
    lease_end_s = simulation.agents[number].agent.lease.granted_until_s
    simulation.change_leader()
    while worker.running:
        simulation.advance(TICK_S)
    assert simulation.loop.time() > lease_end_s - 1.0
    simulation.advance(EXPIRY_S)
    assert last_run(simulation) == 2


def test_lease_is_renewed_only_after_the_silence_is_cleared(simulation: GraphSimulation) -> None:
    """Guards against a lease that the next leader takes for expired.

    It begins with the recorded silence, so a lease that was granted beside it would expire early.
    """
    number = cut_busy_agent(simulation)
    worker_id = simulation.workers[number].worker_id
    assert worker_id in simulation.log.state.graphs.silences
    simulation.log.held_types = (ClearSilence,)
    simulation.layer.cuts.clear()
    assert renewals(simulation, number, 2.0) == 0
    assert simulation.log.held
    simulation.log.after_round_trip(simulation.log.release)
    assert renewals(simulation, number, 1.0) > 0
    assert worker_id not in simulation.log.state.graphs.silences
    assert last_run(simulation) == 1
    assert_leases_hold(simulation, number)


@pytest.mark.parametrize("is_committed", [False, True], ids=["clear is lost", "clear commits"])
def test_leader_is_lost_before_the_silence_is_cleared(
    simulation: GraphSimulation, is_committed: bool
) -> None:
    """Guards against a worker whose recorded silence outlives the leader that should clear it.

    The worker calls the next leader before that has found it lost.
    """
    number = cut_busy_agent(simulation)
    simulation.log.held_types = (ClearSilence,)
    simulation.layer.cuts.clear()
    assert renewals(simulation, number, 1.0) == 0
    if is_committed:
        simulation.log.release()
    simulation.log.held.clear()
    simulation.log.held_types = ()
    simulation.change_leader()
    assert renewals(simulation, number, 2.0) > 0
    assert not simulation.log.state.graphs.silences
    assert last_run(simulation) == 1
    assert_leases_hold(simulation, number)


@pytest.mark.parametrize("restarts_agent", [False, True], ids=["agent", "restarted agent"])
def test_silence_of_an_earlier_session_commits_late(
    simulation: GraphSimulation, restarts_agent: bool
) -> None:
    """Guards against a lease that was granted before an earlier session's silence commits.

    The next session of the same leader starts without that silence in the replicated state, and
    the leader after it would take the lease for expired.
    """
    simulation.log.held_types = (RecordSilences,)
    term = simulation.log.term
    number = cut_busy_agent(simulation)
    session = simulation.leader.graph_session
    assert simulation.log.held and not simulation.log.state.graphs.silences
    while simulation.leader.graph_session in (session, None):
        simulation.advance(TICK_S)
    if restarts_agent:
        simulation.restart_agent(number)
    # The worker calls before the new session has proposed its silence once more.
    simulation.layer.cuts.clear()
    assert renewals(simulation, number, 2.0) == 0
    simulation.log.after_round_trip(simulation.log.release)
    assert renewals(simulation, number, 1.0) > 0
    assert simulation.log.term == term
    assert not simulation.log.state.graphs.silences
    assert last_run(simulation) == 1
    assert_leases_hold(simulation, number)


def test_worker_that_calls_the_next_leader_keeps_its_run(simulation: GraphSimulation) -> None:
    """Guards against a run that ends because its worker was silent under an earlier leader."""
    number = cut_busy_agent(simulation)
    simulation.change_leader()
    simulation.layer.cuts.clear()
    assert renewals(simulation, number, 2.0) > 0
    assert not simulation.log.state.graphs.silences
    simulation.advance(2 * EXPIRY_S)
    assert last_run(simulation) == 1
    assert_leases_hold(simulation, number)


def test_silence_of_a_worker_without_runs_is_dropped(simulation: GraphSimulation) -> None:
    """Guards against entries of lost workers that stay in the replicated state for good."""
    number = cut_busy_agent(simulation)
    assert set(simulation.log.state.graphs.silences) == {simulation.workers[number].worker_id}
    simulation.advance(EXPIRY_S + RECORD_INTERVAL_S)
    assert last_run(simulation) == 2
    assert not simulation.log.state.graphs.silences
    commands = len(simulation.log.commands)
    simulation.advance(5.0)
    silences = [
        command
        for command in map(simulation.log.state.decode_reply, simulation.log.commands[commands:])
        if isinstance(command, RecordSilences)
    ]
    assert not silences


@pytest.mark.parametrize(
    ("proposals_before", "proposals_after", "is_proposed"),
    [(1, 0, False), (1, 1, True), (2, 0, False), (0, 1, True)],
)
def test_clear_covers_earlier_proposals_only(
    proposals_before: int, proposals_after: int, is_proposed: bool
) -> None:
    """Guards against a lease that is granted while a silence proposed after the clear commits."""
    proposed = ProposedSilences()
    for _ in range(proposals_before):
        proposed.add(["w-1", "w-2"])
    number = proposed.find("w-1")
    for _ in range(proposals_after):
        proposed.add(["w-1"])
    proposed.settle_worker("w-1", number)
    assert (proposed.find("w-1") > 0) is is_proposed
    assert (proposed.find("w-2") > 0) is (proposals_before > 0)
    proposed.settle(proposed.last_number)
    assert not proposed.numbers


def test_snapshot_of_an_earlier_version_has_no_silences() -> None:
    """Guards against an instance that cannot load the snapshot of the version before."""
    state = ControlState()
    state.graphs.silences = {"w-1": 3.0}
    fields = msgspec.msgpack.decode(state.snapshot())
    restored = ControlState()
    restored.restore(state.snapshot())
    assert restored.graphs.silences == {"w-1": 3.0}
    del fields["graphs"]["silences"]
    restored.restore(msgspec.msgpack.encode(fields))
    assert restored.graphs.silences == {}
