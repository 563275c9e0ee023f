"""A lower bound of the worker's clock."""

# The platform allows a worker's clock to be 2% slow, so elapsed time here counts for less there.
MIN_CLOCK_RATE = 0.98


class WorkerClock:
    """Estimates the worker's clock from the times in its answers.

    The worker read its clock before the answer arrived here, so its clock is ahead of the
    estimate.
    """

    __slots__ = ("observed_at_s", "worker_s")

    def __init__(self) -> None:
        self.worker_s = 0.0
        self.observed_at_s = 0.0

    def observe(self, worker_s: float, now_s: float) -> None:
        """Records a clock reading that arrived at `now_s`, if it raises the lower bound."""
        if worker_s >= self.lower_bound_s(now_s):
            self.worker_s = worker_s
            self.observed_at_s = now_s

    def lower_bound_s(self, now_s: float) -> float:
        """Returns a time that the worker's clock has certainly reached; 0 without a reading."""
        if not self.worker_s:
            return 0.0
        return self.worker_s + (now_s - self.observed_at_s) * MIN_CLOCK_RATE
