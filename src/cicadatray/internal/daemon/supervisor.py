"""Runs the loops of a process that nobody else waits for."""

import asyncio
from collections.abc import Awaitable, Callable

import structlog

from cicadatray.internal.observability.graph_metrics import loop_failures
from cicadatray.internal.observability.metrics_registry import MetricsRegistry

# Shorter than the time for which a process serves without contact to the leader, so that one error
# of its probe goes unnoticed by callers; long enough for a loop that fails at once to cost little.
RESTART_PAUSE_S = 0.5
# An equal error is logged again if the loop has run for this long since it was restarted.
SETTLED_AFTER_S = 60.0

Loop = Callable[[], Awaitable[None]]

log = structlog.get_logger(__name__)


class Supervisor:
    """Restarts each loop that ends with an unexpected error.

    Restarting suits loops that hold no state between two rounds but that of objects which survive
    them. Ending the process instead would break the connections of callers, and the leases that it
    holds, for an error that may have concerned a single message.

    The first of equal errors is logged with its trace; all of them are counted.
    """

    __slots__ = ("failures", "tasks")

    def __init__(self, metrics: MetricsRegistry) -> None:
        self.failures = loop_failures(metrics)
        self.tasks: list[asyncio.Task[None]] = []

    def start(self, name: str, loop: Loop) -> None:
        """Runs `loop` until it returns or `stop` is called; `name` stands in logs and metrics."""
        self.tasks.append(asyncio.create_task(self._supervise(name, loop), name=name))

    async def stop(self) -> None:
        """Cancels all loops and waits until they have ended."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.tasks.clear()

    async def _supervise(self, name: str, loop: Loop) -> None:
        clock = asyncio.get_running_loop()
        last_error = ""
        while True:
            started_s = clock.time()
            try:
                await loop()
                return
            except asyncio.CancelledError as error:
                if self._is_stopping():
                    raise
                # The loop awaited a task that something else had cancelled.
                failure: BaseException = error
            except Exception as error:
                failure = error
            self.failures.increment(loop=name)
            if clock.time() - started_s >= SETTLED_AFTER_S or repr(failure) != last_error:
                log.error("loop failed", loop=name, error=repr(failure), exc_info=failure)
            last_error = repr(failure)
            await asyncio.sleep(RESTART_PAUSE_S)

    def _is_stopping(self) -> bool:
        task = asyncio.current_task()
        return task is None or task.cancelling() > 0
