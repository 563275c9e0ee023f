"""Measures for how long the event loop is held by one turn."""

import asyncio
import time


class LoopHolds:
    """Measures the longest time between two passes of the event loop, in seconds.

    A task that runs in every pass of the loop takes the time of each pass. Used as an asynchronous
    context manager around the code to measure.
    """

    __slots__ = ("longest_s", "task")

    def __init__(self) -> None:
        self.longest_s = 0.0
        self.task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> "LoopHolds":
        self.task = asyncio.create_task(self._watch())
        await asyncio.sleep(0)
        return self

    async def __aexit__(self, *exception: object) -> None:
        await asyncio.sleep(0)
        assert self.task is not None
        self.task.cancel()

    async def _watch(self) -> None:
        last_s = time.perf_counter()
        while True:
            await asyncio.sleep(0)
            now_s = time.perf_counter()
            self.longest_s = max(self.longest_s, now_s - last_s)
            last_s = now_s
