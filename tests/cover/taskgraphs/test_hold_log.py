"""Log lines and the metric about work that waits although its pool has room for it."""

import asyncio

import pytest
from structlog.testing import capture_logs

from cicadatray.internal.bench.virtual_time_loop import run_virtual
from cicadatray.internal.control.graphs.hold_log import MAX_LINES, HoldLog
from cicadatray.internal.observability.metrics_registry import MetricsRegistry
from cicadatray.scheduling.taskgraphs.held_work import HeldWork
from cicadatray.scheduling.taskgraphs.step import Step
from cicadatray.scheduling.taskgraphs.wait_reason import WaitReason
from cover.taskgraphs.placement_helpers import ONE, make_waiting
from cover.taskgraphs.test_graph_session import make_session

ROUND_S = 0.25


@pytest.mark.parametrize(("rounds", "lines"), [(1, 0), (2, 0), (4, 2), (40, 2)])
@pytest.mark.parametrize("jobs", [1, 3])
def test_hold_is_logged_when_it_lasts_and_when_it_ends(rounds: int, lines: int, jobs: int) -> None:
    """Guards against a job that rests without a reason in the log, and against a flood of lines."""
    works = [make_waiting(Step(1, ONE, 5.0), 2, graph_id=f"g{n}")[0] for n in range(jobs)]

    async def main() -> float:
        session, _ = make_session()
        session.leader.metrics = MetricsRegistry()
        hold_log = HoldLog(session)
        for number in range(rounds):
            held_s = number * ROUND_S
            hold_log.record_round([HeldWork(w, WaitReason.ROOM_KEPT, held_s, 0.2) for w in works])
            await asyncio.sleep(ROUND_S)
        hold_log.record_round([])
        cells = session.leader.metrics.counter(
            "cicadatray_work_held_seconds_total", "", ("queue", "reason")
        ).label_sets.values
        return sum(cells.values())

    with capture_logs() as captured:
        held_s = run_virtual(main())
    assert [line["event"] for line in captured].count("work held") == jobs * lines // 2
    assert len(captured) == jobs * lines
    assert held_s == pytest.approx(jobs * (rounds - 1) * ROUND_S)


def test_lines_of_one_round_are_bounded() -> None:
    """Guards against hundreds of lines in the round in which a whole pool is held."""
    works = [make_waiting(Step(1, ONE, 5.0), 2, graph_id=f"g{n}")[0] for n in range(100)]

    async def main() -> None:
        session, _ = make_session()
        session.leader.metrics = MetricsRegistry()
        held = [HeldWork(work, WaitReason.ROOM_KEPT, 1.0, 0.2) for work in works]
        HoldLog(session).record_round(held)

    with capture_logs() as captured:
        run_virtual(main())
    assert len(captured) == MAX_LINES
