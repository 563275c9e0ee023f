"""Until when the worker may run its tasks, on the worker's own clock."""

import asyncio

from cicadatray.internal.agent.tasks.worker_clock import SLOWEST_RATE

# A worker that neither announces itself nor answers for this long gets no longer lease: two of its
# announcements are missing.
SILENT_WORKER_S = 3.0


class WorkerLease:
    """`granted_s` is what control allows, `sent_s` the latest end that any call to the worker had.

    `heard_s` is when the worker last announced itself or answered, on the event loop's clock.
    """

    __slots__ = ("granted_s", "heard_s", "sent_s")

    def __init__(self) -> None:
        self.granted_s = 0.0
        self.sent_s = 0.0
        self.heard_s = asyncio.get_running_loop().time()

    def heard(self) -> None:
        """Notes a sign of life of the worker."""
        self.heard_s = asyncio.get_running_loop().time()

    def grant(self, asked_s: float, lease_s: float) -> None:
        """Takes a lease that counts from when control was asked, on the worker's clock then.

        So it ends before control takes the worker for lost. `asked_s` 0 means that the clock was
        not known.
        """
        if asked_s:
            self.granted_s = max(self.granted_s, asked_s + lease_s * SLOWEST_RATE)

    def to_send(self) -> float:
        """Returns the lease for a call, no longer extended while the worker does not answer.

        A call without an answer may still be carried out, so a lease that was sent counts.
        """
        silence_s = asyncio.get_running_loop().time() - self.heard_s
        if silence_s < SILENT_WORKER_S:
            self.sent_s = max(self.sent_s, self.granted_s)
        return self.sent_s
