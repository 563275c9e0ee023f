"""The limit on retries of an entry."""

# With every endpoint failing, retries add at most a tenth to the load instead of multiplying it.
RETRY_SHARE = 0.1
# Lets the failures of one endpoint's crash, at most its slots, be retried at low traffic.
RETRY_RESERVE = 10.0
# Refills the reserve of an entry whose traffic is too low to earn retries.
RESERVE_REFILL_PER_S = 1.0


class RetryBudget:
    """A bucket that requests and time fill and retries empty."""

    __slots__ = ("balance", "refilled_at_s")

    def __init__(self) -> None:
        self.balance = RETRY_RESERVE
        self.refilled_at_s = 0.0

    def record_request(self) -> None:
        """Earns the share of a retry that an ordinary request allows."""
        self.balance = min(RETRY_RESERVE, self.balance + RETRY_SHARE)

    def try_spend(self, now_s: float) -> bool:
        """Spends a retry and tells whether there was one."""
        refill = (now_s - self.refilled_at_s) * RESERVE_REFILL_PER_S
        self.refilled_at_s = now_s
        self.balance = min(RETRY_RESERVE, self.balance + refill)
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        return True
