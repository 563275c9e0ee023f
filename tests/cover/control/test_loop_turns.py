"""Tests of computations that give way to other work on the event loop."""

import asyncio
import itertools
from collections.abc import Generator

from structlog.testing import capture_logs

from cicadatray.internal.control.loop_turns import TURN_LIMIT_S, run_in_turns
from cicadatray.internal.control.loop_watch import REPORT_AFTER_S, WINDOW_S, LoopWatch
from cicadatray.internal.observability.metrics_registry import MetricsRegistry


class StepClock(asyncio.SelectorEventLoop):
    """An event loop whose time passes only when a computation says so."""

    now_s = 0.0

    def time(self) -> float:
        return self.now_s


def compute(loop: StepClock, steps: int, step_s: float) -> Generator[None, None, int]:
    for _ in range(steps):
        loop.now_s += step_s
        yield
    return steps


def test_long_computation_gives_way_after_each_turn() -> None:
    """Guards against a leader that sends no heartbeats while it plans."""
    loop = StepClock()

    async def main() -> tuple[int | None, list[float]]:
        turns: list[float] = []

        async def heartbeat() -> None:
            while True:
                turns.append(loop.now_s)
                await asyncio.sleep(0)

        beating = asyncio.create_task(heartbeat())
        await asyncio.sleep(0)
        result = await run_in_turns(compute(loop, 100, TURN_LIMIT_S / 4))
        beating.cancel()
        return result, turns

    try:
        result, turns = loop.run_until_complete(main())
    finally:
        loop.close()
    assert result == 100
    gaps = [later - earlier for earlier, later in itertools.pairwise(turns)]
    assert max(gaps) <= 1.5 * TURN_LIMIT_S
    assert len(turns) >= 20


def test_computation_can_be_stopped_after_a_turn() -> None:
    """Guards against urgent work that waits for the end of a long round."""
    loop = StepClock()
    stops = iter((False, False, True))
    steps = compute(loop, 100, 1.1 * TURN_LIMIT_S)
    try:
        assert loop.run_until_complete(run_in_turns(steps, lambda: next(stops))) is None
    finally:
        loop.close()
    assert round(loop.now_s / (1.1 * TURN_LIMIT_S)) == 3


def test_held_event_loop_is_logged_and_measured() -> None:
    """Guards against an operator who cannot tell why a leader was deposed."""
    metrics = MetricsRegistry()
    watch = LoopWatch(metrics)
    with capture_logs() as lines:
        for number, held_s in enumerate((0.001, 3.0, 2.0, REPORT_AFTER_S / 2)):
            watch.record(held_s, 1.0 + number / 10, held_s / 4)
    assert [(line["event"], line["held_s"], line["cpu_s"]) for line in lines] == [
        ("event loop held", 3.0, 0.75)
    ]
    assert "cicadatray_event_loop_longest_hold_seconds 3" in metrics.render_text()
    watch.record(0.0, 2 + WINDOW_S)
    watch.record(0.0, 4 + 2 * WINDOW_S)
    assert "cicadatray_event_loop_longest_hold_seconds 0" in metrics.render_text()
