"""Urgent work and workers that are slow after their start."""

import pytest

from cicadatray.internal.bench.virtual_time_loop import run_virtual
from cicadatray.internal.control.graphs.evacuation_limits import EvacuationLimits
from cicadatray.internal.control.graphs.placement_input import build_workers
from cicadatray.internal.wire.messages.graph_messages import WorkerOffer
from cicadatray.scheduling.taskgraphs.placement_round import PlacementRound
from cicadatray.scheduling.taskgraphs.step import Step
from cover.taskgraphs.placement_helpers import (
    CAPACITY,
    ONE,
    WHOLE,
    make_running,
    make_waiting,
    make_workers,
)
from cover.taskgraphs.test_graph_session import call, make_session


@pytest.mark.parametrize(
    ("cold", "busy", "priority", "step", "expected"),
    [
        (["w0"], [], 0, Step(1, ONE, 5.0), {"w1"}),
        (["w0"], ["w1"], 0, Step(1, ONE, 5.0), {"w0"}),
        (["w0"], [], 0, Step(2, WHOLE, 5.0, is_gang=True), {"w0", "w1"}),
        (["w0", "w1"], [], 0, Step(1, ONE, 5.0), {"w0"}),
        (["w0"], [], 2, Step(1, ONE, 5.0), {"w0"}),
        ([], [], 0, Step(1, ONE, 5.0), {"w0"}),
    ],
    ids=[
        "warm is free",
        "warm is busy",
        "gang needs both",
        "all are cold",
        "batch",
        "none is cold",
    ],
)
def test_cold_worker_takes_urgent_work_only_if_nothing_else_fits(
    cold: list[str], busy: list[str], priority: int, step: Step, expected: set[str]
) -> None:
    """Guards against urgent work that is late on workers which have just come back."""
    workers = make_workers((2,))
    running = [make_running(workers, [(name, CAPACITY)], priority=0) for name in busy]
    for worker in workers:
        worker.is_cold = worker.worker_id in cold
    plan = PlacementRound(workers, running, 0.0).run(make_waiting(step, priority))
    assert {a.worker_id for a in plan.assignments} == expected


@pytest.mark.parametrize(
    ("cold_remaining_s", "start_limit_s", "is_cold"),
    [(0.0, 5.0, False), (3.0, 5.0, True), (3.0, 0.0, False)],
    ids=["warm", "cold", "no evacuations are configured"],
)
def test_offer_tells_whether_a_worker_is_cold(
    cold_remaining_s: float, start_limit_s: float, is_cold: bool
) -> None:
    """Guards against a worker that counts as warm before it is, or stays cold.

    Also guards against other placements in deployments without evacuations.
    """

    async def main() -> None:
        session, _ = make_session()
        session.evacuation_limits = EvacuationLimits(start_limit_s)
        offer = WorkerOffer(
            "w-1", "pool", "d0", "r0", ("a",), CAPACITY, cold_remaining_s=cold_remaining_s
        )
        session.handle_sync(call(offer=offer))
        assert [worker.is_cold for worker in build_workers(session)] == [is_cold]

    run_virtual(main())
