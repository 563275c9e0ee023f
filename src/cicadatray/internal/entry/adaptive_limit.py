"""How many requests an entry may have in progress at the endpoints of one service."""

import msgspec

# Every slot of the service. Agents queue one request for each slot, so that two entries that start
# at the same time do not cause refusals before they have adapted.
FIRST_SHARE = 1.0
# Slots and the agents' queues: more could only be refused.
SHARE_LIMIT = 2.0
# The queues at the agents are not fair between accounts, so they are kept short: together a quarter
# of the slots. It is a sum, because one slow endpoint always has a queue.
QUEUED_SHARE_LIMIT = 0.25
CUT_AFTER_QUEUED = 0.95
# A refusal tells that both slots and the agent's queue are full.
CUT_AFTER_REFUSED = 0.85
# Added by each round of replies, as a share of the slots; small against the cuts.
GROWTH_PER_ROUND = 0.02


class ServiceLoad(msgspec.Struct, frozen=True):
    """What the agents of a service told last, of all their callers together."""

    slots: int
    queued: int


class AdaptiveLimit:
    """Additive increase, multiplicative decrease, driven by the loads in the agents' replies.

    Entries that share endpoints converge to equal parts without talking to each other. The limit
    is kept as a share of the service's slots, so that it follows endpoints that come and go.
    """

    __slots__ = ("cut_at_s", "share")

    def __init__(self) -> None:
        self.share = FIRST_SHARE
        self.cut_at_s = float("-inf")

    def max_in_flight(self, slots: int) -> int:
        """Returns the limit; at least one request may always test the endpoints."""
        return max(1, int(self.share * slots))

    def observe_reply(
        self, load: ServiceLoad, in_use: int, mean_hold_s: float, now_s: float
    ) -> None:
        """Takes the loads that are known after a reply."""
        if load.queued > load.slots * QUEUED_SHARE_LIMIT:
            self._cut(CUT_AFTER_QUEUED, load.slots, mean_hold_s, now_s)
        elif in_use >= self.max_in_flight(load.slots):
            self.share = min(SHARE_LIMIT, self.share + GROWTH_PER_ROUND / max(1, in_use))

    def observe_refusal(self, load: ServiceLoad, mean_hold_s: float, now_s: float) -> None:
        """Takes a refusal for lack of slots. One full endpoint among others is left to the choice
        of endpoints."""
        if load.queued > load.slots * QUEUED_SHARE_LIMIT:
            self._cut(CUT_AFTER_REFUSED, load.slots, mean_hold_s, now_s)

    def _cut(self, factor: float, slots: int, mean_hold_s: float, now_s: float) -> None:
        # Replies of one round trip tell of the same congestion.
        if now_s - self.cut_at_s >= mean_hold_s:
            self.cut_at_s = now_s
            self.share = max(1 / max(1, slots), self.share * factor)
