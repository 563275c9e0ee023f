"""An asyncio event loop whose clock advances only when every task waits."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

Result = TypeVar("Result")


class _ImmediateSelector(selectors.SelectSelector):
    """Advances the loop's clock to the next timer instead of waiting for it."""

    __slots__ = ("loop",)

    def __init__(self, loop: "VirtualTimeLoop") -> None:
        super().__init__()
        self.loop = loop

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        ready = super().select(0)
        if not ready and timeout is not None and timeout > 0:
            self.loop.now_s += timeout
        if not ready and timeout is None:
            raise RuntimeError("every task waits and no timer is set: the run would never end")
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Runs timers in order without waiting; the same inputs give the same schedule.

    Real sockets do not work on it: their readiness would race with the virtual clock.
    """

    __slots__ = ("now_s",)

    def __init__(self) -> None:
        self.now_s = 0.0
        super().__init__(_ImmediateSelector(self))

    def time(self) -> float:
        """Returns virtual seconds since the loop was created."""
        return self.now_s


def run_virtual(main: Coroutine[Any, Any, Result]) -> Result:
    """Runs a coroutine to completion on a new virtual clock."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
