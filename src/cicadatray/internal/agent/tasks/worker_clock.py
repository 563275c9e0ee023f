"""An estimate of the worker's clock that is never ahead of it."""

# The platform lets a worker's clock be 2% slow, so time that passes here counts for less there.
SLOWEST_RATE = 0.98


class WorkerClock:
    """`observe` takes what the worker said its clock was, and when the answer arrived here.

    The worker read its clock before the answer arrived, so it is later there by now.
    """

    __slots__ = ("observed_at_s", "worker_s")

    def __init__(self) -> None:
        self.worker_s = 0.0
        self.observed_at_s = 0.0

    def observe(self, worker_s: float, now_s: float) -> None:
        """Keeps the observation that gives the later, and so the closer, lower bound."""
        if worker_s >= self.lower_bound_s(now_s):
            self.worker_s = worker_s
            self.observed_at_s = now_s

    def lower_bound_s(self, now_s: float) -> float:
        """Returns a time that the worker's clock has surely reached."""
        if not self.worker_s:
            return 0.0
        return self.worker_s + (now_s - self.observed_at_s) * SLOWEST_RATE
