"""How many requests an entry may have in progress at the endpoints of one service."""

from cicadatray.internal.wire.messages.attempt_messages import AgentLoad

# Every slot of the service. Agents queue one request for each slot, so that two entries that start
# at the same time do not cause refusals before they have adapted.
FIRST_SHARE = 1.0
# Slots and the agents' queues: more could only be refused.
SHARE_LIMIT = 2.0
# A queue at an agent is not fair between accounts, so it is kept short: a quarter of its slots.
QUEUED_SHARE_LIMIT = 0.25
CUT_AFTER_QUEUED = 0.95
# A refusal tells that both slots and the agent's queue are full.
CUT_AFTER_REFUSED = 0.85
# Added by each round of replies, as a share of the slots; small against the cuts.
GROWTH_PER_ROUND = 0.02


class AdaptiveLimit:
    """Additive increase, multiplicative decrease, driven by the loads in the agents' replies.

    Entries that share endpoints converge to equal parts without talking to each other. The limit
    is kept as a share of the service's slots, so that it follows endpoints that come and go.
    """

    __slots__ = ("cut_at_s", "share")

    def __init__(self) -> None:
        self.share = FIRST_SHARE
        self.cut_at_s = float("-inf")

    def limit(self, slots: int) -> int:
        """Returns the limit; at least one request may always test the endpoints."""
        return max(1, int(self.share * slots))

    def observe_reply(
        self, load: AgentLoad, slots: int, in_use: int, mean_hold_s: float, now_s: float
    ) -> None:
        """Takes the load that came with a reply."""
        if load.queued > load.slots * QUEUED_SHARE_LIMIT:
            self._cut(CUT_AFTER_QUEUED, slots, mean_hold_s, now_s)
        elif in_use >= self.limit(slots):
            self.share = min(SHARE_LIMIT, self.share + GROWTH_PER_ROUND / max(1, in_use))

    def observe_refusal(self, slots: int, mean_hold_s: float, now_s: float) -> None:
        """Takes a refusal for lack of slots."""
        self._cut(CUT_AFTER_REFUSED, slots, mean_hold_s, now_s)

    def _cut(self, factor: float, slots: int, mean_hold_s: float, now_s: float) -> None:
        # Replies of one round trip tell of the same congestion.
        if now_s - self.cut_at_s >= mean_hold_s:
            self.cut_at_s = now_s
            self.share = max(1 / max(1, slots), self.share * factor)
