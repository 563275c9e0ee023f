"""The time limits of evacuations."""

import msgspec

# The rest of the limit covers a leader that is cut off and grants permissions until its lease ends,
# and orders that are on their way to a worker.
PERMISSION_SHARE = 0.5


class EvacuationLimits(msgspec.Struct, frozen=True):
    """How long an evacuation may take.

    `start_limit_s` is the longest time from its confirmation to the last start there, 0 without a
    limit. Work that is not expected to end within `drain_s` of the order moves elsewhere.
    """

    start_limit_s: float = 0.0
    drain_s: float = 60.0

    @property
    def start_permission_s(self) -> float:
        """How long after its call an agent may send starts; 0 without a limit."""
        return self.start_limit_s * PERMISSION_SHARE
