"""Durations of worker leases."""

import msgspec

# The share of the longest lease that is granted; the rest covers clock drift and network delay.
LEASE_SHARE = 0.97
# Ten per cent is far above the drift of any clock, so that it covers scheduling delays too.
LEASE_MARGIN_SHARE = 0.1
# An agent gets the reply to its call after this time at the latest, so that the lease is renewed
# several times before it expires.
SYNC_WAIT_S = 0.5


class TaskLeases(msgspec.Struct, frozen=True):
    """The lease durations that follow from `longest_s`, the longest lease that workers grant."""

    longest_s: float = 6.0

    @property
    def lease_s(self) -> float:
        """How long a worker may run tasks, from when its agent sent a call that got a reply."""
        return self.longest_s * LEASE_SHARE

    @property
    def expiry_s(self) -> float:
        """How long after the last reply to an agent the runs on its worker count as ended."""
        return self.lease_s * (1 + LEASE_MARGIN_SHARE)
