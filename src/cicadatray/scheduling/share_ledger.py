"""Accounting of lent capacity: what the jobs of each account use outside its guarantees."""

import math

from cicadatray.scheduling.rules import DEFAULT_SHARE_WEIGHT, Rules
from cicadatray.scheduling.waiting_queue import WaitingQueue

# An account that used more than its share is delayed for some hours, not for ever.
USAGE_HALF_LIFE_S = 4 * 3600.0
# Each granted gang is charged this run time in advance, so that one burst of jobs cannot take all
# capacity before any time has passed.
GRANT_CHARGE_S = 1800.0
FULL_DELAY_USE_RATIO = 4.0
# Larger fractions follow the shares more closely but lengthen the longest completion times.
DELAY_FRACTION = 0.3


class ShareLedger:
    """Sums exponentially decayed accelerator-seconds, from grants and not from usage reports.

    `past_use` holds the decayed accelerator-seconds up to `updated_s`, `granted_accelerators` what
    the account holds now.
    """

    __slots__ = ("granted_accelerators", "past_use", "updated_s", "weights")

    def __init__(self, rules: Rules) -> None:
        self.past_use: dict[str, float] = {}
        self.granted_accelerators: dict[str, int] = {}
        self.updated_s: dict[str, float] = {}
        self.weights = rules.shares

    def grant(self, account: str, accelerators: int, now_s: float) -> None:
        """Starts to charge for a gang; a negative number of accelerators ends it."""
        self._update(account, now_s)
        self.granted_accelerators[account] = (
            self.granted_accelerators.get(account, 0) + accelerators
        )

    def weighted_use(self, account: str, now_s: float) -> float:
        """Returns the account's accelerator-seconds divided by its weight."""
        self._update(account, now_s)
        used = self.past_use[account] + self.granted_accelerators.get(account, 0) * GRANT_CHARGE_S
        return used / self.weights.get(account, DEFAULT_SHARE_WEIGHT)

    def delays(self, queue: WaitingQueue, now_s: float) -> dict[str, float]:
        """Returns the seconds by which the jobs of each waiting account are delayed in the order.

        The delay is a fraction of the longest current wait: without a backlog, arrival order keeps
        the longest completion times short; with a backlog, the shares decide. An account with
        `FULL_DELAY_USE_RATIO` times the mean use is delayed by `DELAY_FRACTION` of that wait, one
        far below the mean is advanced by as much.
        """
        weighted_uses = {account: self.weighted_use(account, now_s) for account in queue.accounts}
        mean = sum(weighted_uses.values()) / max(1, len(weighted_uses))
        waits = [now_s - job.request.submitted_s for job in queue.oldest_jobs()]
        longest_s = max(waits, default=0.0)
        delays = {}
        for account, use in weighted_uses.items():
            excess = math.log(max(use, 1.0) / max(mean, 1.0)) / math.log(FULL_DELAY_USE_RATIO)
            delays[account] = DELAY_FRACTION * longest_s * min(1.0, max(-1.0, excess))
        return delays

    def _update(self, account: str, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self.updated_s.get(account, now_s))
        remaining_fraction = math.exp2(-elapsed_s / USAGE_HALF_LIFE_S)
        accrued = (
            self.granted_accelerators.get(account, 0)
            * (1.0 - remaining_fraction)
            * USAGE_HALF_LIFE_S
            / math.log(2.0)
        )
        self.past_use[account] = self.past_use.get(account, 0.0) * remaining_fraction + accrued
        self.updated_s[account] = max(now_s, self.updated_s.get(account, now_s))
