"""What a leader tells an agent, and when it takes a worker for lost."""

import asyncio
from types import SimpleNamespace
from typing import Any

import pytest

from cicadatray.internal.bench.virtual_time_loop import run_virtual
from cicadatray.internal.control.control_state import ControlState
from cicadatray.internal.control.graphs.agent_lives import INCARNATION_SILENCE_S
from cicadatray.internal.control.graphs.graph_session import RELAY_LIMIT, GraphSession
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
    """Returns a new leader's session over one graph whose gang of two runs on the worker."""
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


def test_end_is_noted_only_when_it_is_durable() -> None:
    """A worker forgets an end that is noted, so the next leader would never hear of it."""

    async def main() -> None:
        session, _ = make_session()
        ends = (RunEnd(RUN, RunOutcome.DONE, 1),)
        held = session.take_call(call(runs=reports(1), ends=ends))
        assert held is not None
        assert session.orders_for(held).committed_end_number == 0
        session.record_committed(session.new_ends)
        assert session.orders_for(held).committed_end_number == 1

    run_virtual(main())


@pytest.mark.parametrize("field", ["is_cancelled", "failure"])
def test_runs_of_an_ended_graph_are_stopped(field: str) -> None:
    """What a client has cancelled must not go on."""

    async def main() -> None:
        session, graph = make_session()
        held = session.take_call(call(runs=reports(0, 1)))
        assert held is not None
        assert session.orders_for(held).stops == ()
        setattr(graph, field, True if field == "is_cancelled" else "failed")
        assert len(session.orders_for(held).stops) == 2

    run_virtual(main())


def test_rest_of_a_gang_is_stopped() -> None:
    """Members that wait for one that has ended waste their room."""

    async def main() -> None:
        session, graph = make_session()
        held = session.take_call(call(runs=reports(0, 1)))
        assert held is not None
        graph.record_end(RUN.task, 1, "w-1", RunOutcome.FAILED, "")
        session.ordered["w-1"].pop(RUN)
        stops = {run.task.index for run in session.orders_for(held).stops}
        assert 1 in stops

    run_virtual(main())


def test_lost_only_after_its_lease_and_margin() -> None:
    """A worker behind a partition runs until its lease ends."""

    async def main() -> None:
        session, _ = make_session()
        await asyncio.sleep(LEASES.end_s - 0.01)
        assert session.find_lost_workers() == []
        await asyncio.sleep(0.02)
        assert session.find_lost_workers() == ["w-1"]
        assert {end.end.outcome for end in session.lost_runs("w-1")} == {RunOutcome.LOST}

    run_virtual(main())


@pytest.mark.parametrize(("agent_id", "is_lost"), [("a", True), ("other", False)])
def test_new_worker_of_an_agent_ends_the_one_before(agent_id: str, is_lost: bool) -> None:
    """After a loss of power a new leader waited for leases of workers that were long replaced."""

    async def main() -> None:
        session, _ = make_session(agent_id=agent_id)
        session.take_call(call("w-2"))
        assert (session.find_lost_workers() == ["w-1"]) is is_lost

    run_virtual(main())


@pytest.mark.parametrize(
    ("incarnation", "sequence", "is_taken"),
    [("one", 6, True), ("one", 4, False), ("two", 1, True)],
    ids=["later", "overtaken", "restarted agent"],
)
def test_overtaken_calls_are_ignored(incarnation: str, sequence: int, is_taken: bool) -> None:
    """A late call of a former worker would end the present one."""

    async def main() -> None:
        session, _ = make_session()
        session.take_call(call(sequence=5))
        taken = session.take_call(call(sequence=sequence, agent_incarnation=incarnation))
        assert (taken is not None) is is_taken
        if incarnation == "two":
            assert session.take_call(call(sequence=9, agent_incarnation="one")) is None

    run_virtual(main())


def test_run_that_the_log_does_not_know_is_stopped() -> None:
    """A run of a graph that was given up elsewhere must not stay on a worker that comes back."""

    async def main() -> None:
        session, _ = make_session()
        stranger = TaskRun(TaskId("other", 0, 0, 0), 3)
        held = session.take_call(call(runs=(*reports(0, 1), RunReport(stranger, 10))))
        assert held is not None
        assert session.orders_for(held).stops == (stranger,)

    run_virtual(main())


def test_late_call_of_a_former_life_shuts_out_the_present_one_only_for_a_moment() -> None:
    """A relayed call of a killed agent that reached a new leader late cost its worker for good."""

    async def main() -> None:
        session, _ = make_session()
        assert session.take_call(call(sequence=1, agent_incarnation="two")) is not None
        # The new leader cannot know that this incarnation ended under its predecessor.
        session.take_call(call(sequence=7, agent_incarnation="one"))
        await asyncio.sleep(INCARNATION_SILENCE_S + 0.1)
        assert session.take_call(call(sequence=2, agent_incarnation="two")) is not None
        assert session.take_call(call(sequence=8, agent_incarnation="one")) is None

    run_virtual(main())


@pytest.mark.parametrize("count", [RELAY_LIMIT, RELAY_LIMIT + 1, 3 * RELAY_LIMIT + 2])
def test_relays_are_named_in_every_data_centre(count: int) -> None:
    """The first relays by name stood in one data centre, and were cut off together with it."""

    async def main() -> None:
        session, _ = make_session()
        for number in range(count):
            centre = "abc"[3 * number // count]
            session.take_relay(MemberAddress(f"{centre}-{number:03}", "127.0.0.1", number + 1))
        named = session.take_relay(None)
        assert len(named) == min(count, RELAY_LIMIT)
        assert {relay.name[0] for relay in named} == {"a", "b", "c"}
        assert session.take_relay(None) == named

    run_virtual(main())
