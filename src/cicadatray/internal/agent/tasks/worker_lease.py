"""Until when the worker may run its tasks, on the worker's own clock."""

import asyncio

from cicadatray.internal.agent.tasks.worker_clock import SLOWEST_RATE

# A worker that neither announces itself nor answers for this long gets no longer lease: two of its
# announcements are missing.
SILENT_WORKER_S = 3.0


class WorkerLease:
    """Tracks the end of the lease that control grants and of the one that the worker was sent.

    `granted_end_s` is the end that control allows, `sent_end_s` the latest end in any call to
    the worker. `last_contact_s` is the event loop time at which the worker last announced itself
    or answered.
    """

    __slots__ = ("granted_end_s", "last_contact_s", "sent_end_s")

    def __init__(self) -> None:
        self.granted_end_s = 0.0
        self.sent_end_s = 0.0
        self.last_contact_s = asyncio.get_running_loop().time()

    def record_contact(self) -> None:
        """Notes a sign of life of the worker."""
        self.last_contact_s = asyncio.get_running_loop().time()

    def grant(self, asked_s: float, lease_s: float) -> None:
        """Takes a lease that counts from when control was asked, on the worker's clock then.

        So it ends before control takes the worker for lost. `asked_s` 0 means that the clock was
        not known.
        """
        if asked_s:
            self.granted_end_s = max(self.granted_end_s, asked_s + lease_s * SLOWEST_RATE)

    def end_to_send(self) -> float:
        """Returns the lease for a call, no longer extended while the worker does not answer.

        A call without an answer may still be carried out, so a lease that was sent counts.
        """
        silence_s = asyncio.get_running_loop().time() - self.last_contact_s
        if silence_s < SILENT_WORKER_S:
            self.sent_end_s = max(self.sent_end_s, self.granted_end_s)
        return self.sent_end_s
