"""The lease within which the worker may run its tasks, on the worker's clock."""

import asyncio

from cicadatray.internal.agent.tasks.worker_clock import MIN_CLOCK_RATE

# The lease of a worker that neither announces itself nor answers for this time is not extended: two
# of its announcements are missing.
SILENT_WORKER_S = 3.0


class WorkerLease:
    """Tracks the end of the lease that control grants and of the one that the worker was sent.

    `granted_end_s` is the end that control allows, `sent_end_s` the latest end in any call to
    the worker. `first_granted_end_s` is the end of the first grant, 0 before it. No lease that an
    earlier process of this agent sent lasts longer, because its grants started before.
    `last_contact_s` is the event loop time at which the worker last announced itself or answered.
    """

    __slots__ = ("first_granted_end_s", "granted_end_s", "last_contact_s", "sent_end_s")

    def __init__(self) -> None:
        self.first_granted_end_s = 0.0
        self.granted_end_s = 0.0
        self.sent_end_s = 0.0
        self.last_contact_s = asyncio.get_running_loop().time()

    def record_contact(self) -> None:
        """Records that the worker announced itself or answered."""
        self.last_contact_s = asyncio.get_running_loop().time()

    def grant(self, asked_s: float, lease_s: float) -> None:
        """Records a lease of `lease_s` that starts at `asked_s`, when control was called.

        `asked_s` is a time on the worker's clock. Hence the lease ends before control considers the
        worker lost. An `asked_s` of 0 means that the clock was unknown, and the lease is ignored.
        """
        if asked_s:
            self.granted_end_s = max(self.granted_end_s, asked_s + lease_s * MIN_CLOCK_RATE)
            self.first_granted_end_s = self.first_granted_end_s or self.granted_end_s

    def end_to_send(self) -> float:
        """Returns the end of the lease for a call, which is extended only for a worker in contact.

        A call without an answer may still be carried out, so every end that was sent counts.
        """
        silence_s = asyncio.get_running_loop().time() - self.last_contact_s
        if silence_s < SILENT_WORKER_S:
            self.sent_end_s = max(self.sent_end_s, self.granted_end_s)
        return self.sent_end_s

    def has_expired(self, worker_clock_s: float) -> bool:
        """Returns whether every lease that the worker may have received has expired.

        `worker_clock_s` is a lower bound of the worker's clock. Before the first grant, the end of
        a lease from an earlier process of this agent is unknown.
        """
        if not self.first_granted_end_s:
            return False
        return worker_clock_s > max(self.first_granted_end_s, self.sent_end_s)
