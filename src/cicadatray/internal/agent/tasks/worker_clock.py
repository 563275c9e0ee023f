"""A lower bound of the worker's clock."""

# The platform allows a worker's clock to be 2% slow, so elapsed time here counts for less there.
MIN_CLOCK_RATE = 0.98
# The longest time between two readings of the estimate that counts, in seconds. During a longer one
# this process did not run, perhaps because the machine was suspended with the worker's clock.
LONGEST_STEP_S = 0.5
# Workers report their clocks in whole milliseconds.
CLOCK_RESOLUTION_S = 0.001


class WorkerClock:
    """Estimates the worker's clock from the times in its answers.

    The worker read its clock before the answer arrived here, so its clock is ahead of the
    estimate. Between answers the estimate advances with the event loop's clock, which counts the
    time for which the machine is suspended. The worker's clock does not, so only steps of at most
    `LONGEST_STEP_S` between two readings of the estimate count; the agent reads it more often.
    """

    __slots__ = ("counted_at_s", "worker_s")

    def __init__(self) -> None:
        self.worker_s = 0.0
        self.counted_at_s = 0.0

    def observe(self, worker_s: float, now_s: float, bound_when_asked_s: float = 0.0) -> float:
        """Records a clock reading that arrived at `now_s`, if it raises the lower bound.

        `bound_when_asked_s` is the lower bound when the call was sent that the worker answered with
        the reading, or 0 if that is unknown. A reading below it refutes the estimate and replaces
        it. Returns by how many seconds the estimate was ahead, usually 0.
        """
        ahead_s = bound_when_asked_s - worker_s
        is_refuted = ahead_s > CLOCK_RESOLUTION_S
        if is_refuted or worker_s >= self.lower_bound_s(now_s):
            self.worker_s = worker_s
            self.counted_at_s = now_s
        return ahead_s if is_refuted else 0.0

    def lower_bound_s(self, now_s: float) -> float:
        """Returns a time that the worker's clock has certainly reached; 0 without a reading."""
        if not self.worker_s:
            return 0.0
        step_s = min(max(0.0, now_s - self.counted_at_s), LONGEST_STEP_S)
        self.worker_s += step_s * MIN_CLOCK_RATE
        self.counted_at_s = max(self.counted_at_s, now_s)
        return self.worker_s
