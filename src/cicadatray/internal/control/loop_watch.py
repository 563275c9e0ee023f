"""Watches for how long the event loop is held."""

import asyncio
import time

import structlog

from cicadatray.internal.observability.metrics_registry import MetricsRegistry
from cicadatray.internal.observability.queue_metrics import event_loop_hold_seconds

# A hold of this length, in seconds, is always seen, and a shorter one by chance.
CHECK_INTERVAL_S = 0.25
# Followers elect another leader when they hear nothing for a few times this long.
REPORT_AFTER_S = 0.1
LINE_INTERVAL_S = 1.0
# The gauge shows the longest hold of the last one to two of these times, in seconds.
WINDOW_S = 30.0

log = structlog.get_logger(__name__)


class LoopWatch:
    """Measures how late a timer fires, and logs when it fires much too late.

    `longest_s` and `former_longest_s` are the longest delays of the present and the former window.
    """

    __slots__ = ("former_longest_s", "longest_s", "next_line_s", "window_ends_s")

    def __init__(self, metrics: MetricsRegistry) -> None:
        self.longest_s = 0.0
        self.former_longest_s = 0.0
        self.window_ends_s = 0.0
        self.next_line_s = 0.0
        event_loop_hold_seconds(metrics).read_from(
            lambda: max(self.longest_s, self.former_longest_s)
        )

    async def run(self) -> None:
        """Watches until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            due_s = loop.time() + CHECK_INTERVAL_S
            used_s = time.thread_time()
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.record(loop.time() - due_s, loop.time(), time.thread_time() - used_s)

    def record(self, held_s: float, now_s: float, cpu_s: float = 0.0) -> None:
        """Records by how much a timer was late; `now_s` is the event loop's time.

        `cpu_s` is the processor time that the loop has used since the timer was set. If it is much
        less than `held_s`, the process was not run.
        """
        if now_s >= self.window_ends_s:
            self.window_ends_s = now_s + WINDOW_S
            self.former_longest_s, self.longest_s = self.longest_s, 0.0
        self.longest_s = max(self.longest_s, held_s)
        if held_s >= REPORT_AFTER_S and now_s >= self.next_line_s:
            self.next_line_s = now_s + LINE_INTERVAL_S
            log.warning("event loop held", held_s=round(held_s, 3), cpu_s=round(cpu_s, 3))
