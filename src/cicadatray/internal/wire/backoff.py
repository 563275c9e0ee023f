"""Delays between attempts to connect to another process."""

import random

BACKOFF_FIRST_S = 0.2
BACKOFF_LIMIT_S = 5.0
BACKOFF_FACTOR = 2.0


class Backoff:
    """Computes exponential backoff with full jitter.

    The jitter prevents a connection storm when a whole data centre restarts.
    """

    __slots__ = ("ceiling_s", "limit_s", "random")

    def __init__(
        self, random_source: random.Random | None = None, limit_s: float = BACKOFF_LIMIT_S
    ) -> None:
        self.limit_s = limit_s
        self.random = random_source or random.Random()
        self.ceiling_s = BACKOFF_FIRST_S

    def next_delay_s(self) -> float:
        """Returns the next delay and raises the ceiling of the following one."""
        delay_s = self.random.uniform(0, self.ceiling_s)
        self.ceiling_s = min(self.limit_s, self.ceiling_s * BACKOFF_FACTOR)
        return delay_s

    def reset(self) -> None:
        """Returns to the first ceiling after a success."""
        self.ceiling_s = BACKOFF_FIRST_S
