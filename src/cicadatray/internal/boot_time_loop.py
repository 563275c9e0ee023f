"""An event loop whose clock also advances while the machine is suspended."""

import asyncio
import time


class BootTimeLoop(asyncio.SelectorEventLoop):
    """Measures time by `CLOCK_BOOTTIME`.

    Leases are compared between machines, so a machine that was suspended must find its own expired.
    """

    __slots__ = ()

    def time(self) -> float:
        """Returns seconds since boot, including time in suspension."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
