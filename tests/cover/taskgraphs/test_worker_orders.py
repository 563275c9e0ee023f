"""The size of the orders in one reply to an agent."""

import asyncio
from types import SimpleNamespace
from typing import Any

import pytest

from cicadatray.internal.bench.virtual_time_loop import run_virtual
from cicadatray.internal.control.control_state import ControlState
from cicadatray.internal.control.graphs.graph_session import GraphSession
from cicadatray.internal.wire.frame import FRAME_LIMIT_BYTES
from cicadatray.internal.wire.messages.graph_messages import RunReport
from cicadatray.internal.wire.messages.registry import message_codec
from cicadatray.scheduling.taskgraphs.start_limits import StartLimits
from cicadatray.scheduling.taskgraphs.step import Step
from cicadatray.scheduling.taskgraphs.task_graph import TaskGraph
from cicadatray.scheduling.taskgraphs.task_id import TaskId, TaskRun
from cover.taskgraphs.placement_helpers import ONE, make_graph
from cover.taskgraphs.test_graph_session import LEASES, call

# The longest text of a task that clients may send, of characters of one and of four bytes.
LONGEST_SPEC_BYTES = 4000
MAX_REPLIES = 40


def make_busy_session(tasks: int, spec: str) -> GraphSession:
    """Returns a session in which all tasks of a graph are ordered on one worker."""
    graph = make_graph("g", Step(tasks, ONE, 5.0), 1)
    for index in range(tasks):
        graph.record_start(TaskId("g", 0, 0, index), 1, "w-1")
    plain = graph.graph
    graph.graph = TaskGraph("g", plain.client_account, plain.policy, spec, plain.steps)
    state = ControlState()
    state.graphs.graphs["g"] = graph
    leader: Any = SimpleNamespace(
        state=state, started_s=0.0, term=4, now_s=lambda: asyncio.get_running_loop().time()
    )
    return GraphSession(leader, LEASES, StartLimits())


@pytest.mark.parametrize(
    ("tasks", "spec"),
    [
        (1, "x" * 2 * FRAME_LIMIT_BYTES),
        (3, "short"),
        (320, "x" * LONGEST_SPEC_BYTES),
        (2500, "x" * LONGEST_SPEC_BYTES),
        (2500, "\U0001f600" * (LONGEST_SPEC_BYTES // 4)),
    ],
    ids=["too long for any reply", "short", "hundreds", "thousands", "thousands, not ASCII"],
)
def test_starts_that_do_not_fit_in_one_reply_follow_in_the_next(tasks: int, spec: str) -> None:
    """Guards against a reply that no frame carries: its agent gets no orders and no lease.

    Control counts each reply as sent, so that it keeps the runs on this worker for good.
    """

    async def main() -> None:
        session = make_busy_session(tasks, spec)
        codec = message_codec()
        started: list[TaskRun] = []
        for sequence in range(1, MAX_REPLIES):
            listed = tuple(RunReport(run, -1) for run in started)
            worker = session.handle_sync(call(sequence=sequence, runs=listed))
            assert worker is not None
            orders = session.orders_for(worker)
            if not orders.starts:
                break
            assert worker.has_new_orders(orders)
            worker.last_orders = orders
            is_last = len(started) + len(orders.starts) == tasks
            assert orders.has_all_starts is is_last
            if len(spec) <= LONGEST_SPEC_BYTES:
                assert len(codec.encode(1, orders)) < FRAME_LIMIT_BYTES / 2
            started += [order.run for order in orders.starts]
        assert len(started) == len(set(started)) == tasks

    run_virtual(main())


def test_orders_of_an_evacuated_data_centre_may_leave_out_starts() -> None:
    """Guards against an agent that takes a start for new because its first reply held it back."""

    async def main() -> None:
        session = make_busy_session(3, "short")
        worker = session.handle_sync(call())
        assert worker is not None
        assert session.orders_for(worker).has_all_starts
        evacuations: Any = session.leader.state.evacuations
        evacuations.active[worker.offer.data_centre] = object()
        session.revoked_runs.update(session.ordered_runs[worker.offer.worker_id])
        orders = session.orders_for(worker)
        assert len(orders.stops) == 3 and not orders.has_all_starts

    run_virtual(main())
