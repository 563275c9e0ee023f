"""Tests of the deadline of a call that is repeated."""

import asyncio

import pytest

from cicadatray.internal.bench.virtual_time_loop import run_virtual
from cicadatray.internal.wire.messages.graph_messages import ReadMembers
from cicadatray.internal.wire.retried_call import RetriedCall

PAUSE_S = 0.1
MAX_ATTEMPTS = 1_000


@pytest.mark.parametrize("start_s", [0.0, 0.1, 1.7, 12.3, 1_000.1])
@pytest.mark.parametrize("timeout_s", [0.1, 0.3, 0.7, 1.2, 3.0])
@pytest.mark.parametrize("rounding_s", [0.0, 1e-9])
def test_attempts_end_at_the_deadline(start_s: float, timeout_s: float, rounding_s: float) -> None:
    """Guards against attempts without end when a wait ends just before the deadline."""

    async def main() -> int:
        await asyncio.sleep(start_s)
        call = RetriedCall(ReadMembers(), timeout_s, timeout_s)
        attempts = 0
        while call.remaining_s() > 0 and attempts < MAX_ATTEMPTS:
            attempts += 1
            await call.pause(min(PAUSE_S, call.remaining_s() - rounding_s))
        return attempts

    assert run_virtual(main()) <= timeout_s / PAUSE_S + 2
