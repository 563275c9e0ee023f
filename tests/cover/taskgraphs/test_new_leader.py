"""Decisions of a leader before all agents have called it."""

import asyncio
from typing import Any

import pytest
from structlog.testing import capture_logs

from cicadatray.internal.bench.virtual_time_loop import run_virtual
from cicadatray.internal.control.graphs.graph_loop import GraphLoop
from cicadatray.internal.control.graphs.graph_session import AGENTS_RETURN_S
from cicadatray.internal.wire.messages.graph_messages import SyncWorker
from cicadatray.scheduling.taskgraphs.step import Step
from cover.taskgraphs.placement_helpers import WHOLE, make_graph
from cover.taskgraphs.test_end_recorder import CutOffLeader
from cover.taskgraphs.test_graph_session import call, make_session, reports


def sync(agent_id: str, worker_id: str, sequence: int, **fields: Any) -> SyncWorker:
    offer = call(worker_id).offer
    return SyncWorker(agent_id, "one", sequence, offer, **fields)


@pytest.mark.parametrize(
    ("idle_worker_calls_s", "is_displaced"),
    [(AGENTS_RETURN_S / 2, False), (2 * AGENTS_RETURN_S, True)],
    ids=["soon", "too late"],
)
def test_new_leader_waits_for_idle_workers_before_it_stops_work(
    idle_worker_calls_s: float, is_displaced: bool
) -> None:
    """Guards against work that is stopped because a new leader does not know an idle worker yet.

    With 6 of 10 workers known, a leader stopped an urgent task of 6.5 s for another one, although
    an idle worker called it 0.45 s later.
    """

    async def main() -> None:
        session, _ = make_session()
        session.leader = CutOffLeader(session)  # type: ignore[assignment]
        urgent = make_graph("urgent", Step(1, WHOLE, 4.0, is_gang=True), 0, session.wall_s())
        session.graphs["urgent"] = urgent
        session.ready.changed["urgent"] = None
        session.handle_sync(sync("a", "w-1", 1, runs=reports(0, 1)))
        loop = asyncio.create_task(GraphLoop(session).run())
        await asyncio.sleep(idle_worker_calls_s)
        session.handle_sync(sync("b", "w-2", 1))
        await asyncio.sleep(2 * AGENTS_RETURN_S)
        loop.cancel()

    with capture_logs() as captured:
        run_virtual(main())
    events = [line["event"] for line in captured]
    assert ("run displaced" in events) is is_displaced
    assert "run placed" in events
