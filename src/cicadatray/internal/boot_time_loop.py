"""An event loop whose clock goes on while the machine is suspended."""

import asyncio
import time


class BootTimeLoop(asyncio.SelectorEventLoop):
    """Leases are compared between machines, so a suspended machine must find its own expired."""

    __slots__ = ()

    def time(self) -> float:
        """Returns seconds since boot, including time in suspension."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
