"""Tests of the event loop on virtual time."""

import asyncio

from cicadatray.internal.bench.virtual_time_loop import run_virtual


def test_clock_advances_by_exactly_the_awaited_time() -> None:
    """Guards against a virtual clock that waits in real time or skips a timer."""

    async def main() -> list[float]:
        loop = asyncio.get_running_loop()
        seen: list[float] = []
        for delay_s in (3600.0, 0.5):
            await asyncio.sleep(delay_s)
            seen.append(round(loop.time(), 6))
        return seen

    assert run_virtual(main()) == [3600.0, 3600.5]
