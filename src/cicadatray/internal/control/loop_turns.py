"""Computations on the event loop that give way to other work."""

import asyncio
from collections.abc import Callable, Generator
from typing import TypeVar

# A computation gives way after this time. What waits then, such as the leader's heartbeats, is
# carried out before it goes on.
TURN_LIMIT_S = 0.01

ResultType = TypeVar("ResultType")


def _never() -> bool:
    return False


async def run_in_turns(
    steps: Generator[None, None, ResultType], must_stop: Callable[[], bool] = _never
) -> ResultType | None:
    """Runs a computation that yields wherever it may pause, and returns its result.

    `must_stop` is asked after each turn. Returns None if it has stopped the computation.
    """
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    while True:
        try:
            next(steps)
        except StopIteration as end:
            result: ResultType = end.value
            return result
        if loop.time() - began_s < TURN_LIMIT_S:
            continue
        await asyncio.sleep(0)
        if must_stop():
            steps.close()
            return None
        began_s = loop.time()


def run_at_once(steps: Generator[None, None, ResultType]) -> ResultType:
    """Runs a computation without a pause, and returns its result."""
    while True:
        try:
            next(steps)
        except StopIteration as end:
            result: ResultType = end.value
            return result
