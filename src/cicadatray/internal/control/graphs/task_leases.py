"""Durations of the leases that control grants to agents for the runs on their workers."""

import msgspec

# The shortest lease, in seconds. Work continues while all control instances lose power for up to
# 9 s, restart and elect a leader. A longer lease delays the restart of work whose agent is gone.
SHORTEST_LEASE_S = 12.0
# The share of that time that is granted; the rest covers clock drift and network delay.
LEASE_SHARE = 0.97
# Ten per cent is far above the drift of any clock, so that it covers scheduling delays too.
LEASE_MARGIN_SHARE = 0.1
# An agent gets the reply to its call after this time at the latest, so that the lease is renewed
# several times before it expires.
SYNC_WAIT_S = 0.5


class TaskLeases(msgspec.Struct, frozen=True):
    """The lease durations that follow from `worker_lease_s`, the longest lease of workers.

    An agent may be granted more than its worker accepts in one call, because it extends the lease
    of its worker several times a second.
    """

    worker_lease_s: float = 6.0

    @property
    def lease_s(self) -> float:
        """How long a worker may run tasks, from when its agent sent a call that got a reply."""
        return max(self.worker_lease_s, SHORTEST_LEASE_S) * LEASE_SHARE

    @property
    def expiry_s(self) -> float:
        """How long after the last reply to an agent the runs on its worker count as ended."""
        return self.lease_s * (1 + LEASE_MARGIN_SHARE)
