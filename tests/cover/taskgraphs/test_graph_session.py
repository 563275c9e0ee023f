"""Orders of a leader to agents, and the detection of lost workers."""

import asyncio
from types import SimpleNamespace
from typing import Any

import msgspec
import pytest

from cicadatray.internal.bench.virtual_time_loop import run_virtual
from cicadatray.internal.control.control_state import ControlState
from cicadatray.internal.control.graphs.agent_incarnations import INCARNATION_SILENCE_S
from cicadatray.internal.control.graphs.graph_session import GraphSession
from cicadatray.internal.control.graphs.lost_runs import lost_run_ends
from cicadatray.internal.control.graphs.placement_input import build_running, build_workers
from cicadatray.internal.control.graphs.relay_directory import MAX_RELAYS
from cicadatray.internal.control.graphs.task_leases import TaskLeases
from cicadatray.internal.wire.messages.graph_messages import (
    MemberAddress,
    RunEnd,
    RunReport,
    SyncWorker,
    WorkerOffer,
)
from cicadatray.scheduling.taskgraphs.graph_progress import GraphProgress
from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.run_outcome import RunOutcome
from cicadatray.scheduling.taskgraphs.start_limits import StartLimits
from cicadatray.scheduling.taskgraphs.step import Step
from cicadatray.scheduling.taskgraphs.task_id import TaskId, TaskRun
from cover.taskgraphs.placement_helpers import ONE, make_graph

LEASES = TaskLeases(10.0)
RUN = TaskRun(TaskId("g", 0, 0, 0), 1)


def make_session(worker_id: str = "w-1", agent_id: str = "a") -> tuple[GraphSession, GraphProgress]:
    """Returns a new leader's session, and its one graph with a gang of two on the worker."""
    graph = make_graph("g", Step(2, ONE, 5.0, is_gang=True), 1)
    for index in range(2):
        graph.record_start(TaskId("g", 0, 0, index), 1, worker_id)
    state = ControlState()
    state.graphs.graphs["g"] = graph
    state.graphs.record_agent(worker_id, agent_id)
    leader: Any = SimpleNamespace(
        state=state, started_s=0.0, term=4, now_s=lambda: asyncio.get_running_loop().time()
    )
    return GraphSession(leader, LEASES, StartLimits()), graph


def call(worker_id: str = "w-1", sequence: int = 1, **fields: Any) -> SyncWorker:
    offer = WorkerOffer(worker_id, "pool", "d0", "r0", ("a",), Resources(64_000, 128_000, 8))
    fields = {"agent_incarnation": "one", "offer": offer, **fields}
    return SyncWorker(agent_id="a", sequence=sequence, **fields)


def reports(*indexes: int) -> tuple[RunReport, ...]:
    return tuple(RunReport(TaskRun(TaskId("g", 0, 0, i), 1), 40) for i in indexes)


def test_end_is_acknowledged_only_when_it_is_durable() -> None:
    """A worker drops an acknowledged end, so the next leader could not learn of it any more."""

    async def main() -> None:
        session, _ = make_session()
        ends = (RunEnd(RUN, RunOutcome.DONE, 1),)
        worker = session.handle_sync(call(runs=reports(1), ends=ends))
        assert worker is not None
        assert session.orders_for(worker).committed_end_number == 0
        session.apply_committed_ends(session.new_ends)
        assert session.orders_for(worker).committed_end_number == 1

    run_virtual(main())


@pytest.mark.parametrize("reporter", ["w-1", "w-2"])
def test_loss_is_recorded_unless_the_worker_itself_reported_the_end(reporter: str) -> None:
    """Guards against a run without any end, because another worker lists an end of it.

    Nothing else would end the run once its worker is gone.
    """

    async def main() -> None:
        session, _ = make_session()
        session.handle_sync(call(runs=reports(0, 1)))
        offer = msgspec.structs.replace(call().offer, worker_id=reporter)
        ends = (RunEnd(RUN, RunOutcome.DONE, 1),)
        agent_id = {"w-1": "a", "w-2": "b"}[reporter]
        session.handle_sync(SyncWorker(agent_id, "one", 2, offer, ends=ends))
        lost = [placed.end.run for placed in lost_run_ends(session, "w-1")]
        assert (RUN in lost) is (reporter == "w-2")
        session.apply_committed_ends(session.new_ends)
        assert not session.unstored_ends

    run_virtual(main())


@pytest.mark.parametrize("field", ["is_cancelled", "failure"])
def test_runs_of_an_ended_graph_are_stopped(field: str) -> None:
    """Runs must not continue after their graph was cancelled or has failed."""

    async def main() -> None:
        session, graph = make_session()
        worker = session.handle_sync(call(runs=reports(0, 1)))
        assert worker is not None
        assert session.orders_for(worker).stops == ()
        setattr(graph, field, True if field == "is_cancelled" else "failed")
        assert len(session.orders_for(worker).stops) == 2

    run_virtual(main())


def test_rest_of_a_gang_is_stopped() -> None:
    """Members that wait for an ended member would occupy their workers for nothing."""

    async def main() -> None:
        session, graph = make_session()
        worker = session.handle_sync(call(runs=reports(0, 1)))
        assert worker is not None
        graph.record_end(RUN.task, 1, "w-1", RunOutcome.FAILED, "")
        session.ordered_runs["w-1"].pop(RUN)
        stops = {run.task.index for run in session.orders_for(worker).stops}
        assert 1 in stops

    run_virtual(main())


def test_worker_is_lost_only_after_its_lease_and_margin() -> None:
    """A worker behind a partition runs its tasks until its lease expires."""

    async def main() -> None:
        session, _ = make_session()
        await asyncio.sleep(LEASES.expiry_s - 0.01)
        assert session.find_lost_workers() == []
        await asyncio.sleep(0.02)
        assert session.find_lost_workers() == ["w-1"]
        assert {end.end.outcome for end in lost_run_ends(session, "w-1")} == {RunOutcome.LOST}

    run_virtual(main())


@pytest.mark.parametrize(("agent_id", "is_lost"), [("a", True), ("other", False)])
def test_new_worker_of_an_agent_ends_the_one_before(agent_id: str, is_lost: bool) -> None:
    """A new leader must not wait for the leases of workers that their agents have replaced.

    After a power loss it waited for the leases of all former workers.
    """

    async def main() -> None:
        session, _ = make_session(agent_id=agent_id)
        session.handle_sync(call("w-2"))
        assert (session.find_lost_workers() == ["w-1"]) is is_lost

    run_virtual(main())


@pytest.mark.parametrize(
    ("incarnation", "sequence", "is_accepted"),
    [("one", 6, True), ("one", 4, False), ("two", 1, True)],
    ids=["later", "overtaken", "restarted agent"],
)
def test_overtaken_calls_are_ignored(incarnation: str, sequence: int, is_accepted: bool) -> None:
    """A delayed call about a former worker must not end the current one."""

    async def main() -> None:
        session, _ = make_session()
        session.handle_sync(call(sequence=5))
        worker = session.handle_sync(call(sequence=sequence, agent_incarnation=incarnation))
        assert (worker is not None) is is_accepted
        if incarnation == "two":
            assert session.handle_sync(call(sequence=9, agent_incarnation="one")) is None

    run_virtual(main())


def test_repeated_call_is_answered_like_the_first_one() -> None:
    """Guards against an agent that gets no orders because the reply to its call was lost.

    The agent repeats the same call, through a relay for example. It was refused as overtaken, and
    the worker's lease was not renewed until the agent had made another call.
    """

    async def main() -> None:
        session, _ = make_session()
        worker = session.handle_sync(call(sequence=5, runs=reports(0, 1)))
        assert worker is not None
        orders = session.orders_for(worker)
        worker.last_orders = orders
        assert session.handle_sync(call(sequence=5, runs=reports(0, 1))) is worker
        assert worker.has_new_orders(orders)
        assert session.handle_sync(call(sequence=4)) is None

    run_virtual(main())


@pytest.mark.parametrize(
    "end",
    [RunEnd(RUN, RunOutcome.CLEARED), RunEnd(RUN, RunOutcome.DONE, 1)],
    ids=["clear", "numbered end"],
)
def test_end_in_a_repeated_call_is_proposed_once(end: RunEnd) -> None:
    """Guards against an end that is committed again with each repetition of a call."""

    async def main() -> None:
        session, _ = make_session()
        for _ in range(2):
            session.handle_sync(call(sequence=5, ends=(end,)))
        assert [placed.end for placed in session.new_ends] == [end]

    run_virtual(main())


def test_run_without_a_durable_record_is_stopped() -> None:
    """A run that is not in the replicated state must not continue on a worker that comes back."""

    async def main() -> None:
        session, _ = make_session()
        unrecorded = TaskRun(TaskId("other", 0, 0, 0), 3)
        worker = session.handle_sync(call(runs=(*reports(0, 1), RunReport(unrecorded, 10))))
        assert worker is not None
        assert session.orders_for(worker).stops == (unrecorded,)

    run_virtual(main())


@pytest.mark.parametrize(
    "task",
    [TaskId("g", 0, 99, 0), TaskId("g", 9, 0, 0), TaskId("g", 0, 0, 99), TaskId("other", 0, 0, 0)],
    ids=["unknown step", "unknown occurrence", "unknown task", "unknown graph"],
)
def test_listed_run_that_does_not_exist_does_not_end_scheduling(task: TaskId) -> None:
    """Guards against an unexpected row in one worker's list that ends every scheduling round.

    The demand of the run is unknown, so only this worker may have to be left out.
    """

    async def main() -> None:
        session, _ = make_session()
        listed = (*reports(0, 1), RunReport(TaskRun(task, 1), 40))
        assert session.handle_sync(call(runs=listed)) is not None
        offer = WorkerOffer("w-9", "pool", "d0", "r0", ("a",), Resources(64_000, 128_000, 8))
        other = SyncWorker(agent_id="b", agent_incarnation="x", sequence=1, offer=offer)
        assert session.handle_sync(other) is not None
        assert "w-9" in [worker.worker_id for worker in build_workers(session)]
        assert len(build_running(session)) == 1

    run_virtual(main())


def test_late_call_of_a_former_incarnation_blocks_the_current_one_only_briefly() -> None:
    """A delayed call of a killed agent must not exclude the restarted agent for good.

    The call was relayed and reached a new leader after the first call of the restarted agent.
    """

    async def main() -> None:
        session, _ = make_session()
        assert session.handle_sync(call(sequence=1, agent_incarnation="two")) is not None
        # The new leader cannot tell that this incarnation ended under its predecessor.
        session.handle_sync(call(sequence=7, agent_incarnation="one"))
        await asyncio.sleep(INCARNATION_SILENCE_S + 0.1)
        assert session.handle_sync(call(sequence=2, agent_incarnation="two")) is not None
        assert session.handle_sync(call(sequence=8, agent_incarnation="one")) is None

    run_virtual(main())


@pytest.mark.parametrize("is_first", [True, False], ids=["first call", "second call"])
def test_late_offer_of_a_former_worker_does_not_end_its_successor(is_first: bool) -> None:
    """Guards against starting running work a second time because of a delayed call.

    The agent and its worker were restarted under the former leader. A relayed call of the killed
    agent reaches the new leader just before or after the first call of its successor.
    """

    async def main() -> None:
        session, _ = make_session("w-0")
        session.ordered_runs = {"w-1": session.ordered_runs["w-0"]}
        session.leader.state.graphs.record_agent("w-1", "a")
        if not is_first:
            assert session.handle_sync(call(agent_incarnation="two", runs=reports(0, 1)))
        late = call("w-0", sequence=7, agent_incarnation="one", runs=reports(0, 1))
        late_session = session.handle_sync(late)
        assert session.find_lost_workers() == []
        assert not any(worker.is_lost for worker in session.workers.values())
        assert late_session is None
        worker = session.handle_sync(call(sequence=2, agent_incarnation="two", runs=reports(0, 1)))
        assert worker is not None and not worker.is_lost
        assert session.orders_for(worker).stops == ()
        # The former worker may come back if no other worker of its agent is known any more.
        session.remove_worker("w-1")
        assert session.handle_sync(call("w-0", sequence=8, agent_incarnation="one")) is not None

    run_virtual(main())


@pytest.mark.parametrize("count", [MAX_RELAYS, MAX_RELAYS + 1, 3 * MAX_RELAYS + 2])
def test_relays_are_selected_in_every_data_centre(count: int) -> None:
    """The selection must cover all data centres.

    The first relays by name were all in one data centre, and were cut off together with it.
    """

    async def main() -> None:
        session, _ = make_session()
        for number in range(count):
            centre = "abc"[3 * number // count]
            relay = MemberAddress(f"{centre}-{number:03}", "127.0.0.1", number + 1)
            session.relays.register(relay, session.now_s())
        selected = session.relays.register(None, session.now_s())
        assert len(selected) == min(count, MAX_RELAYS)
        assert {relay.name[0] for relay in selected} == {"a", "b", "c"}
        assert session.relays.register(None, session.now_s()) == selected

    run_virtual(main())
