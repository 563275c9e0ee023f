"""A limit on the retries of an entry."""

# If all endpoints fail, retries add at most a tenth to the load instead of multiplying it.
RETRY_RATIO = 0.1
# Even at low traffic, the requests that fail when one endpoint crashes can be retried; they are at
# most as many as its slots.
RETRY_BUCKET_CAPACITY = 10.0
# Refills the bucket of an entry whose traffic is too low to do so.
REFILL_PER_S = 1.0


class RetryBudget:
    """A token bucket: requests and time add tokens, and each retry spends one."""

    __slots__ = ("balance", "refilled_at_s")

    def __init__(self) -> None:
        self.balance = RETRY_BUCKET_CAPACITY
        self.refilled_at_s = 0.0

    def record_request(self) -> None:
        """Adds the fraction of a token that each request allows."""
        self.balance = min(RETRY_BUCKET_CAPACITY, self.balance + RETRY_RATIO)

    def try_spend(self, now_s: float) -> bool:
        """Spends a token and returns whether one was available."""
        refill = (now_s - self.refilled_at_s) * REFILL_PER_S
        self.refilled_at_s = now_s
        self.balance = min(RETRY_BUCKET_CAPACITY, self.balance + refill)
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        return True
