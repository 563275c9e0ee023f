"""A request in progress with one or more waiting callers."""

import asyncio

from cicadatray.internal.entry.caller_request import CallerRequest
from cicadatray.internal.entry.request_outcome import RequestOutcome, outcome_unknown

# Added to the deadline for the calls that determine whether the request was started.
DEADLINE_GRACE_S = 2.0
# The time for the same calls after the second stop signal.
STOP_GRACE_S = 2.0
DEADLINE_CODE = "deadline_exceeded"
STOPPED_CODE = "entry_stopped"
RETRY_AFTER_S = 1.0


class SharedRequest:
    """A request and its task; the request is abandoned when its last caller stops waiting.

    `wait_ended` is set when callers get an unknown outcome without waiting for the task.
    """

    __slots__ = ("request", "started_s", "task", "wait_ended", "waiters")

    def __init__(self, request: CallerRequest, task: asyncio.Task[RequestOutcome]) -> None:
        self.request = request
        self.task = task
        self.started_s = asyncio.get_running_loop().time()
        self.wait_ended: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.waiters = 0

    async def wait(self, deadline_s: float) -> RequestOutcome:
        """Returns the outcome, or an unknown outcome `DEADLINE_GRACE_S` after the deadline.

        Cancelling the wait does not affect other callers.
        """
        self.waiters += 1
        try:
            limit_s = deadline_s - asyncio.get_running_loop().time() + DEADLINE_GRACE_S
            await asyncio.wait(
                (self.task, self.wait_ended),
                timeout=max(0.0, limit_s),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if self.task.done():
                return self.task.result()
            code = STOPPED_CODE if self.wait_ended.done() else DEADLINE_CODE
            return outcome_unknown(code, "the request may be running", RETRY_AFTER_S)
        finally:
            self.waiters -= 1
            if self.waiters == 0 and not self.task.done():
                self.request.abandon()

    def stop(self) -> None:
        """Abandons the request; its callers get the outcome, if known, within `STOP_GRACE_S`."""
        self.request.abandon()
        asyncio.get_running_loop().call_later(STOP_GRACE_S, self._stop_waiting)

    def _stop_waiting(self) -> None:
        if not self.wait_ended.done():
            self.wait_ended.set_result(None)
