"""Work of a leader that must not stop unnoticed.

A task group takes a child that was cancelled, by whatever it awaited, for one that has ended as it
should.
"""

import asyncio
from collections.abc import Coroutine
from typing import Any

from cicadatray.internal.control.errors import ControlError


async def fail_if_cancelled(work: Coroutine[Any, Any, None]) -> None:
    """Awaits work in a task of its own; only the owner of that task may cancel it.

    Raises:
        ControlError: the work was cancelled by something else.
    """
    try:
        await work
    except asyncio.CancelledError as error:
        task = asyncio.current_task()
        if task is None or task.cancelling():
            raise
        raise ControlError(f"{work} was cancelled from elsewhere") from error


async def run_endlessly(work: Coroutine[Any, Any, None]) -> None:
    """Awaits work that ends only when the owner of the task cancels it.

    Raises:
        ControlError: the work has ended, or was cancelled by something else.
    """
    await fail_if_cancelled(work)
    raise ControlError(f"{work} has ended")
