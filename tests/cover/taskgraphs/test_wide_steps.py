"""Deadlines of steps that are wider than the share of the pool that their job is promised."""

import asyncio
from types import SimpleNamespace
from typing import Any

import pytest

from cicadatray.internal.bench.virtual_time_loop import run_virtual
from cicadatray.internal.control.control_state import ControlState
from cicadatray.internal.control.graphs.graph_session import GraphSession
from cicadatray.internal.control.graphs.placement_input import build_running, mark_waiting
from cicadatray.internal.control.graphs.pool_capacities import objective_of
from cicadatray.internal.control.graphs.task_leases import TaskLeases
from cicadatray.internal.control.loop_turns import run_at_once
from cicadatray.internal.wire.messages.graph_messages import SyncWorker, WorkerOffer
from cicadatray.scheduling.taskgraphs.placement_round import PlacementRound
from cicadatray.scheduling.taskgraphs.pool_capacity import PoolCapacity
from cicadatray.scheduling.taskgraphs.start_limits import StartLimits
from cicadatray.scheduling.taskgraphs.step import Step
from cicadatray.scheduling.taskgraphs.task_id import TaskId
from cover.taskgraphs.placement_helpers import (
    CAPACITY,
    ONE,
    URGENT,
    WHOLE,
    make_graph,
    make_running,
    make_waiting,
    make_workers,
)

POOL_SIZE = 8
# The stretch and the target latency of the helper's urgent queue.
STRETCH = 1.5
LATENCY_S = 0.25


def make_pool() -> PoolCapacity:
    pool = PoolCapacity()
    for _ in range(POOL_SIZE):
        pool.add(CAPACITY)
    return pool


@pytest.mark.parametrize(
    ("step", "waves"),
    [
        (Step(1, WHOLE, 4.0), 1.0),
        (Step(2, WHOLE, 4.0), 1.0),
        (Step(3, WHOLE, 4.0), 1.5),
        (Step(8, WHOLE, 4.0), 4.0),
        (Step(8, URGENT, 4.0), 2.0),
        (Step(16, ONE, 4.0), 1.0),
        (Step(8, WHOLE, 4.0, is_gang=True), 1.0),
    ],
    ids=["one", "a quarter", "wider", "whole pool", "halves", "narrow", "gang"],
)
def test_waves_of_a_step(step: Step, waves: float) -> None:
    """The objective of a job with a wide step allows for several waves."""
    assert make_pool().step_waves(step) == waves


@pytest.mark.parametrize(
    ("has_waves", "displaced"), [(False, POOL_SIZE), (True, 0)], ids=["at once", "waves"]
)
def test_wide_urgent_job_waits_while_its_objective_allows(has_waves: bool, displaced: int) -> None:
    """Guards against an urgent job as wide as the pool that clears all of it.

    Its objective was taken for that of one task, so it stopped work that would have ended in time.
    """
    workers = make_workers((4, 4))
    running = [
        make_running(workers, [(w.worker_id, WHOLE)], w.worker_id, elapsed_s=7.0, percent=70)
        for w in workers
    ]
    waiting = make_waiting(Step(POOL_SIZE, WHOLE, 4.0), 0, graph_id="urgent")
    for work in waiting:
        work.waves = make_pool().graph_waves(work.graph.graph) if has_waves else ()
    plan = PlacementRound(workers, running, 0.0).run(waiting)
    assert len(plan.displaced) == displaced


def test_leader_takes_waves_from_its_workers() -> None:
    """A leader that leaves out the size of the pool takes wide jobs for late and displaces them."""
    step = Step(POOL_SIZE, WHOLE, 4.0)
    graph = make_graph("g", step, 0)
    graph.record_start(TaskId("g", 0, 0, 0), 1, "w0")

    async def main() -> None:
        state = ControlState()
        state.graphs.graphs["g"] = graph
        leader: Any = SimpleNamespace(
            state=state, started_s=0.0, term=1, now_s=lambda: asyncio.get_running_loop().time()
        )
        session = GraphSession(leader, TaskLeases(), StartLimits())
        assert objective_of(session, graph.graph) == STRETCH * 4.0 + LATENCY_S
        for number in range(POOL_SIZE):
            name = f"w{number}"
            offer = WorkerOffer(name, "pool", "d0", "r0", ("a",), CAPACITY)
            session.handle_sync(SyncWorker(f"a{number}", "one", 1, offer))
        objective_s = STRETCH * 4 * 4.0 + LATENCY_S
        assert objective_of(session, graph.graph) == objective_s
        waiting = make_waiting(step, 0)
        run_at_once(mark_waiting(session, set(), waiting))
        assert waiting[0].latest_start_s() == objective_s - 4 * 4.0
        (running,) = build_running(session)
        assert running.on_time_by_s == pytest.approx(objective_s - session.wall_s(), abs=1.0)

    run_virtual(main())
