"""The lease within which the worker may run its tasks, on the worker's clock."""

import asyncio

from cicadatray.internal.agent.tasks.worker_clock import MIN_CLOCK_RATE

# The lease of a worker that neither announces itself nor answers for this time is not extended: two
# of its announcements are missing.
SILENT_WORKER_S = 3.0
# The longest lease that a worker accepts in one call, unless the settings name another.
DEFAULT_WORKER_LEASE_S = 6.0


class WorkerLease:
    """Tracks the end of the lease that control grants and of the one that the worker was sent.

    Control counts on the time for which a machine is suspended, the worker's clock does not.
    `granted_until_s` is the end that control allows, on the event loop's clock, and 0 before the
    first grant. All other ends are on the worker's clock: `sent_end_s` is the latest end in any
    call to the worker, and `earlier_end_s` the latest end that an earlier process of this agent can
    have sent, which was granted before the first grant of this process; it is 0 before that.
    `longest_s` is the longest lease that the worker accepts in one call. `last_contact_s` is the
    event loop time at which the worker last announced itself or answered, and `adopted_s` the one
    at which this process began to drive it.
    """

    __slots__ = (
        "adopted_s",
        "earlier_end_s",
        "granted_until_s",
        "last_contact_s",
        "longest_s",
        "sent_end_s",
    )

    def __init__(self, longest_s: float = DEFAULT_WORKER_LEASE_S) -> None:
        self.longest_s = longest_s
        self.earlier_end_s = 0.0
        self.granted_until_s = 0.0
        self.sent_end_s = 0.0
        self.last_contact_s = self.adopted_s = asyncio.get_running_loop().time()

    def record_contact(self) -> None:
        """Records that the worker announced itself or answered."""
        self.last_contact_s = asyncio.get_running_loop().time()

    def grant(self, asked_s: float, worker_asked_s: float, lease_s: float) -> None:
        """Records a lease of `lease_s` that starts at `asked_s`, when control was called.

        `worker_asked_s` is a lower bound of the worker's clock at that time. A value of 0 means
        that the clock was unknown, and the lease is ignored.
        """
        if worker_asked_s:
            self.granted_until_s = max(self.granted_until_s, asked_s + lease_s)
            if not self.earlier_end_s:
                longest_s = min(lease_s * MIN_CLOCK_RATE, self.longest_s)
                self.earlier_end_s = worker_asked_s + longest_s

    def remaining_s(self) -> float:
        """Returns for how long control allows the runs on the worker, negative after the end."""
        return self.granted_until_s - asyncio.get_running_loop().time()

    def is_over(self) -> bool:
        """Returns whether a lease was granted and control may count it as expired."""
        return self.granted_until_s > 0.0 and self.remaining_s() <= 0.0

    def is_overdue(self) -> bool:
        """Returns whether all runs on the worker would have ended, had its clock never stood still.

        Before the first grant, a lease that an earlier process of this agent has sent may last.
        """
        if self.granted_until_s:
            return self.is_over()
        driven_s = asyncio.get_running_loop().time() - self.adopted_s
        return driven_s > self.longest_s / MIN_CLOCK_RATE

    def end_to_send(self, clock_s: float) -> float:
        """Returns the end of the lease for a call at `clock_s` on the worker's clock.

        It is extended only for a worker in contact, by no more than the worker accepts. A call
        without an answer may still be carried out, so every end that was sent counts, and a worker
        that is gone is given up once the latest of them has passed.
        """
        silence_s = asyncio.get_running_loop().time() - self.last_contact_s
        remaining_s = self.remaining_s() * MIN_CLOCK_RATE
        if silence_s < SILENT_WORKER_S and remaining_s > 0.0:
            end_s = clock_s + min(remaining_s, self.longest_s)
            self.sent_end_s = max(self.sent_end_s, end_s)
        return self.sent_end_s

    def has_expired(self, worker_clock_s: float) -> bool:
        """Returns whether every lease that the worker may have received has expired.

        `worker_clock_s` is a lower bound of the worker's clock. Before the first grant, the end of
        a lease from an earlier process of this agent is unknown.
        """
        if not self.earlier_end_s:
            return False
        return worker_clock_s > max(self.earlier_end_s, self.sent_end_s)
