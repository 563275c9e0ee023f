"""Keeps the loss of a disk apart from all other disturbances."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager


class DisturbanceGate:
    """Lets disturbances overlap, except those that need a core that is whole."""

    __slots__ = ("changed", "is_reserved", "running")

    def __init__(self) -> None:
        self.changed = asyncio.Condition()
        self.is_reserved = False
        self.running = 0

    @asynccontextmanager
    async def beside_others(self) -> AsyncIterator[None]:
        """Waits while another disturbance is, or waits to be, alone."""
        async with self.changed:
            await self.changed.wait_for(lambda: not self.is_reserved)
            self.running += 1
        try:
            yield
        finally:
            async with self.changed:
                self.running -= 1
                self.changed.notify_all()

    @asynccontextmanager
    async def alone(self) -> AsyncIterator[None]:
        """Waits until no other disturbance runs, and lets none begin."""
        async with self.changed:
            await self.changed.wait_for(lambda: not self.is_reserved)
            self.is_reserved = True
            await self.changed.wait_for(lambda: not self.running)
        try:
            yield
        finally:
            async with self.changed:
                self.is_reserved = False
                self.changed.notify_all()
