"""An adaptive limit on the requests that an entry has in progress at one service."""

import msgspec

# All slots of the service. Agents queue one more request per slot, so two entries that start at the
# same time cause no refusals before their limits have adapted.
INITIAL_SHARE = 1.0
# The slots plus the agents' queues; requests beyond this would be refused.
MAX_SHARE = 2.0
# The agents' queues are not fair between accounts, so they are kept short: a quarter of the slots.
# The sum over all agents is compared, because a single slow endpoint always has a queue.
MAX_QUEUED_SHARE = 0.25
QUEUED_DECREASE_FACTOR = 0.95
# A refusal means that both the slots and the agent's queue are full.
REFUSED_DECREASE_FACTOR = 0.85
# Share of the slots added once per round of replies, small compared with the decreases.
INCREASE_PER_ROUND = 0.02


class ServiceLoad(msgspec.Struct, frozen=True):
    """The load that the agents of a service last reported, summed over all their callers."""

    slots: int
    queued: int


class AdaptiveLimit:
    """A concurrency limit that is adjusted by additive increase and multiplicative decrease (AIMD).

    It is driven by the loads in the agents' replies. Entries that share endpoints converge to equal
    shares without communicating. The limit is stored as a share of the service's slots, so that it
    follows endpoints that are added or removed.
    """

    __slots__ = ("decreased_at_s", "share")

    def __init__(self) -> None:
        self.share = INITIAL_SHARE
        self.decreased_at_s = float("-inf")

    def max_in_flight(self, slots: int) -> int:
        """Returns the limit in requests, at least 1 so that the endpoints are always tested."""
        return max(1, int(self.share * slots))

    def observe_reply(
        self, load: ServiceLoad, in_use: int, mean_hold_s: float, now_s: float
    ) -> None:
        """Adjusts the limit to the loads known after a reply."""
        if load.queued > load.slots * MAX_QUEUED_SHARE:
            self._decrease(QUEUED_DECREASE_FACTOR, load.slots, mean_hold_s, now_s)
        elif in_use >= self.max_in_flight(load.slots):
            self.share = min(MAX_SHARE, self.share + INCREASE_PER_ROUND / max(1, in_use))

    def observe_refusal(self, load: ServiceLoad, mean_hold_s: float, now_s: float) -> None:
        """Decreases the limit after a refusal for lack of slots.

        It stays unchanged while the queues are short: a single full endpoint is avoided by the
        endpoint selection.
        """
        if load.queued > load.slots * MAX_QUEUED_SHARE:
            self._decrease(REFUSED_DECREASE_FACTOR, load.slots, mean_hold_s, now_s)

    def _decrease(self, factor: float, slots: int, mean_hold_s: float, now_s: float) -> None:
        # All replies within one round trip report the same congestion.
        if now_s - self.decreased_at_s >= mean_hold_s:
            self.decreased_at_s = now_s
            self.share = max(1 / max(1, slots), self.share * factor)
