"""A request in progress that several callers may wait for."""

import asyncio

from cicadatray.internal.entry.caller_request import CallerRequest
from cicadatray.internal.entry.request_outcome import RequestOutcome


class SharedRequest:
    """The run is cancelled when its last caller has gone."""

    __slots__ = ("request", "task", "waiters")

    def __init__(self, request: CallerRequest, task: asyncio.Task[RequestOutcome]) -> None:
        self.request = request
        self.task = task
        self.waiters = 0

    async def wait(self) -> RequestOutcome:
        """Returns the outcome. A cancelled wait leaves the run to the other callers."""
        self.waiters += 1
        try:
            return await asyncio.shield(self.task)
        finally:
            self.waiters -= 1
            if self.waiters == 0 and not self.task.done():
                self.request.abandoned.set()
