"""Work that an agent continues after an error that nothing foresees."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from cicadatray.internal.observability.repeated_event import RepeatedEvent


class UnexpectedErrors:
    """Logs the unexpected errors of one kind of work, the first of equal ones with its traceback.

    A cancellation that did not come from the owner of the work counts as such an error.
    """

    __slots__ = ("repeated",)

    def __init__(self, event: str) -> None:
        self.repeated = RepeatedEvent(event)

    def record(self, error: BaseException, **fields: object) -> None:
        """Logs an error unless it is equal to the previous one."""
        kind = type(error).__name__
        self.repeated.record_failure(kind, reason=repr(error), exc_info=error, **fields)

    def record_end(self) -> None:
        """Logs that the work has succeeded again, or that it is given up."""
        self.repeated.record_end()

    async def guard(self, work: Coroutine[Any, Any, None], pause_s: float) -> BaseException | None:
        """Awaits work; after an unexpected error, pauses and returns it."""
        try:
            await work
        except asyncio.CancelledError as error:
            task = asyncio.current_task()
            if task is None or task.cancelling():
                raise
            failure: BaseException = error
        except Exception as error:
            failure = error
        else:
            self.record_end()
            return None
        self.record(failure)
        await asyncio.sleep(pause_s)
        return failure
