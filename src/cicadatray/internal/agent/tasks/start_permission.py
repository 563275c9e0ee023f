"""The permission of control to send starts to a worker."""

import asyncio
import math


class StartPermission:
    """Tracks until when starts may be sent, on the event loop's clock.

    The latest reply of control decides. It counts from before the call, on a clock that also counts
    the time for which the machine is suspended, so that a process that was paused or is cut off
    finds its permission expired.
    """

    __slots__ = ("ends_s", "renewed")

    def __init__(self) -> None:
        self.ends_s = math.inf
        self.renewed = asyncio.Event()

    def renew(self, asked_s: float, permission_s: float) -> None:
        """Records the permission in the reply to a call at `asked_s`; 0 means no limit."""
        self.ends_s = asked_s + permission_s if permission_s else math.inf
        self.renewed.set()

    def holds(self) -> bool:
        """Returns whether a start may be sent now."""
        return asyncio.get_running_loop().time() < self.ends_s

    async def wait_for_renewal(self, longest_s: float) -> None:
        """Waits for the next reply of control, but no longer than `longest_s`."""
        self.renewed.clear()
        try:
            async with asyncio.timeout(longest_s):
                await self.renewed.wait()
        except TimeoutError:
            pass
