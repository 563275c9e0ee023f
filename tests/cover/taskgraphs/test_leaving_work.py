"""Which work must leave draining workers and evacuated data centres."""

import asyncio
from collections.abc import Iterator
from typing import Any

import pytest

from cicadatray.internal.bench.virtual_time_loop import run_virtual
from cicadatray.internal.control.graphs.evacuation_limits import EvacuationLimits
from cicadatray.internal.control.graphs.leaving_work import find_leaving, staying_times
from cicadatray.internal.control.graphs.placement_input import build_workers
from cicadatray.internal.control.graphs.pool_capacities import build_pools
from cicadatray.internal.observability.metrics_registry import MetricsRegistry
from cicadatray.internal.wire.messages.evacuation_messages import Evacuation
from cicadatray.internal.wire.messages.graph_messages import (
    RunEnd,
    RunReport,
    SyncWorker,
    WorkerOffer,
)
from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.run_outcome import RunOutcome
from cicadatray.scheduling.taskgraphs.running_work import RunningWork
from cicadatray.scheduling.taskgraphs.task_id import TaskId, TaskRun
from cover.taskgraphs.placement_helpers import ONE
from cover.taskgraphs.test_graph_session import call, make_session


def running(estimate_s: float, elapsed_s: float, *worker_ids: str) -> RunningWork:
    work = RunningWork("g", 1, False, estimate_s, elapsed_s, -1)
    for index, worker_id in enumerate(worker_ids):
        work.add(TaskRun(TaskId("g", 0, 0, index), 1), worker_id, ONE)
    return work


@pytest.mark.parametrize(
    ("work", "staying_s", "stays_s"),
    [
        (running(10.0, 4.0, "w"), {}, None),
        (running(10.0, 4.0, "w"), {"other": 0.0}, None),
        (running(10.0, 4.0, "w"), {"w": 6.0}, None),
        (running(10.0, 4.0, "w"), {"w": 5.9}, 5.9),
        (running(10.0, 4.0, "w", "v"), {"v": 5.9}, 5.9),
        (running(10.0, 4.0, "w", "v"), {"v": 5.9, "w": 1.0}, 1.0),
        (running(10.0, 12.0, "w"), {"w": 0.0}, None),
        (running(10.0, 12.0, "w"), {"w": -0.1}, -0.1),
    ],
    ids=[
        "stays",
        "another worker leaves",
        "ends in time",
        "ends too late",
        "one member of a gang",
        "two members of a gang",
        "estimate passed on a draining worker",
        "estimate passed and time over",
    ],
)
def test_work_that_leaves(
    work: RunningWork, staying_s: dict[str, float], stays_s: float | None
) -> None:
    """Guards against stopping work that ends in time, and against work that never leaves."""
    leaving = find_leaving([work], staying_s)
    assert [item.stays_s for item in leaving] == ([] if stays_s is None else [stays_s])


@pytest.mark.parametrize(
    ("is_draining", "ordered_ago_s", "stays_s"),
    [(False, None, None), (True, None, 3.0), (False, 10.0, 50.0), (True, 59.0, 1.0)],
    ids=["neither", "draining", "evacuated", "both"],
)
def test_time_to_stay(
    is_draining: bool, ordered_ago_s: float | None, stays_s: float | None
) -> None:
    """Guards against work that stays longer than its worker or the evacuation allows."""

    async def main() -> None:
        session, _ = make_session()
        session.evacuation_limits = EvacuationLimits(5.0, 60.0)
        offer = WorkerOffer(
            "w-1", "pool", "d0", "r0", ("a",), Resources(8000, 8000, 8), is_draining, 3.0
        )
        session.handle_sync(call(offer=offer))
        if ordered_ago_s is not None:
            ordered_s = session.wall_s() - ordered_ago_s
            session.leader.state.evacuations.active["d0"] = Evacuation("d0", ordered_s)
        expected = {} if stays_s is None else {"w-1": pytest.approx(stays_s, abs=0.5)}
        assert staying_times(session) == expected

    run_virtual(main())


def run(index: int) -> TaskRun:
    return TaskRun(TaskId("g", 0, 0, index), 1)


# The first member of the gang is on the evacuated worker, the second one on the other worker.
@pytest.mark.parametrize(
    ("runs", "ends", "revoked"),
    [
        ((), (), True),
        ((RunReport(run(0), may_have_begun=False),), (), True),
        ((RunReport(run(0)),), (), True),
        ((RunReport(run(0), 0),), (), False),
        ((), (RunEnd(run(0), RunOutcome.DONE, 1),), False),
    ],
    ids=["not reported", "held by the agent", "sent", "listed", "ended"],
)
def test_start_that_the_worker_has_not_listed_is_revoked(
    runs: tuple[RunReport, ...], ends: tuple[RunEnd, ...], revoked: bool
) -> None:
    """Guards against a start that an agent holds and sends after the data centre is evacuated.

    A gang whose member has ended must not be stopped while that end is being committed.
    """

    async def main() -> None:
        session, _ = make_session()
        session.leader.metrics = MetricsRegistry()
        session.evacuation_limits = EvacuationLimits(5.0)
        ordered_s = session.ordered_runs["w-1"].pop(run(1))
        session.ordered_runs["v-1"] = {run(1): ordered_s}
        worker = session.handle_sync(call(runs=runs, ends=ends))
        assert worker is not None
        before = session.orders_for(worker)
        assert {order.run for order in before.starts} == ({run(0)} if not runs else set())
        assert build_workers(session) and build_pools(session)
        session.leader.state.evacuations.active["d0"] = Evacuation("d0", session.wall_s())
        orders = session.orders_for(worker)
        assert orders.starts == ()
        assert orders.stops == ((run(0),) if revoked else ())
        assert orders.start_permission_s == 2.5
        assert session.revoked_runs == ({run(0), run(1)} if revoked else set())
        assert not build_workers(session) and not build_pools(session)

    run_virtual(main())


def test_runs_of_a_worker_that_has_not_called_are_kept() -> None:
    """Guards against a new leader that stops all work of an evacuated data centre.

    It knows from the log which runs were ordered, but not yet what the workers list.
    """

    async def main() -> None:
        session, _ = make_session()
        session.leader.state.evacuations.active["d0"] = Evacuation("d0", session.wall_s())
        assert staying_times(session) == {}
        await asyncio.sleep(1.0)
        listed = tuple(RunReport(run(index), 40) for index in range(2))
        worker = session.handle_sync(call(runs=listed))
        assert worker is not None
        orders = session.orders_for(worker)
        assert (orders.starts, orders.stops, session.revoked_runs) == ((), (), set())

    run_virtual(main())


class Unscannable(dict[str, Any]):
    """A mapping that can be read by key only."""

    def __iter__(self) -> Iterator[str]:
        raise AssertionError("all entries are read")

    values = items = keys = __iter__  # type: ignore[assignment]


def test_revocation_reads_only_its_gang() -> None:
    """Guards against replies whose cost grows with the fleet during an evacuation.

    Each agent of a large data centre may hold the start of a gang, beside 6,100 workers and 52,000
    runs.
    """

    async def main() -> None:
        session, graph = make_session()
        session.leader.metrics = MetricsRegistry()
        ordered_s = session.ordered_runs["w-1"].pop(run(1))
        session.ordered_runs["v-1"] = {run(1): ordered_s}
        graph.tasks["0.0.1"].worker_id = "v-1"
        worker = session.handle_sync(call())
        other_call = SyncWorker(
            agent_id="b", sequence=1, agent_incarnation="one", offer=call("v-1").offer
        )
        other = session.handle_sync(other_call)
        assert worker is not None and other is not None
        other.wake.clear()
        session.leader.state.evacuations.active["d0"] = Evacuation("d0", session.wall_s())
        session.ordered_runs = Unscannable(session.ordered_runs)
        session.workers = Unscannable(session.workers)
        assert session.orders_for(worker).stops == (run(0),)
        assert session.revoked_runs == {run(0), run(1)}
        assert other.wake.is_set()

    run_virtual(main())
