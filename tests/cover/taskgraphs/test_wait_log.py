"""How often the leader says why a queue waits."""

import asyncio

import pytest
from structlog.testing import capture_logs

from cicadatray.internal.bench.virtual_time_loop import run_virtual
from cicadatray.internal.control.graphs.wait_log import LINE_INTERVAL_S, WaitLog
from cicadatray.internal.observability.metrics_registry import MetricsRegistry
from cicadatray.scheduling.taskgraphs.placement_wait import PlacementWait
from cicadatray.scheduling.taskgraphs.step import Step
from cicadatray.scheduling.taskgraphs.wait_reason import WaitReason
from cover.taskgraphs.placement_helpers import ONE, make_waiting
from cover.taskgraphs.test_graph_session import make_session

ROUND_S = 0.25
ROUNDS = 80
REASONS = {"r": WaitReason.NO_ROOM, "k": WaitReason.ROOM_KEPT}


@pytest.mark.parametrize(
    ("pattern", "lines"),
    [
        ("r", 1),
        ("-", 0),
        # The reason changes in each round, so it is told after a second and a round.
        ("rk", 16),
        ("r-", 16),
        # Each reason lasts for two seconds.
        ("rrrrrrrrkkkkkkkk", 10),
    ],
)
def test_lines_are_bounded(pattern: str, lines: int) -> None:
    """A reason that changes with every round filled the log, or a change was never told."""
    work = make_waiting(Step(1, ONE, 5.0), 2)[0]

    async def main() -> float:
        session, _ = make_session()
        session.leader.metrics = MetricsRegistry()
        wait_log = WaitLog(session)
        for number in range(ROUNDS):
            symbol = pattern[number % len(pattern)]
            reason = REASONS.get(symbol)
            wait_log.note({"queue": PlacementWait(work, reason)} if reason else {})
            await asyncio.sleep(ROUND_S)
        cells = session.leader.metrics.counter(
            "cicadatray_queue_blocked_seconds_total", "", ("queue", "reason")
        ).label_sets.values
        return sum(cells.values())

    with capture_logs() as captured:
        blocked_s = run_virtual(main())
    duration_s = ROUNDS * ROUND_S
    assert len(captured) <= duration_s / LINE_INTERVAL_S
    assert len(captured) == lines
    share = 1 - pattern.count("-") / len(pattern)
    assert blocked_s == pytest.approx(duration_s * share, abs=2 * ROUND_S)
