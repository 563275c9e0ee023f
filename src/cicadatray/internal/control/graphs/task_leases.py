"""Times of the leases that workers hold."""

import msgspec

# Share of the longest lease that a worker grants; the rest covers clock drift and the way there.
LEASE_SHARE = 0.97
# Ten per cent: far above the drift of any clock, so that scheduling delays fit too.
LEASE_MARGIN_SHARE = 0.1
# An agent without news comes back after this time at the latest, so that its lease is renewed
# several times before it ends.
SYNC_WAIT_S = 0.5


class TaskLeases(msgspec.Struct, frozen=True):
    """`longest_s` is the longest lease that workers grant."""

    longest_s: float = 6.0

    @property
    def lease_s(self) -> float:
        """How long a worker may run tasks after its agent sent a call that was answered."""
        return self.longest_s * LEASE_SHARE

    @property
    def end_s(self) -> float:
        """How long after its last answer the leader takes everything on a worker as ended."""
        return self.lease_s * (1 + LEASE_MARGIN_SHARE)
