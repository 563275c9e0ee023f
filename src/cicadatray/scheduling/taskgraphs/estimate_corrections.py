"""How the true times of the steps of a queue compare with their estimates."""

import math
from collections import OrderedDict
from statistics import NormalDist

from cicadatray.scheduling.taskgraphs.step_times import StepTimes

# The standard deviation of the log of true time by estimate before anything is known.
ESTIMATE_DEVIATION = 0.5
# The prior counts as much as this many steps.
PRIOR_STEPS = 4.0
# The window of each queue, and of queues.
MAX_STEPS = 64
MAX_QUEUES = 256


class EstimateCorrections:
    """Learns by queue, from the last steps that ended, how far estimates are off.

    The tasks of one step share the error of its estimate and count as one observation. Few
    observations are shrunk towards an exact estimate. A queue has one priority.
    """

    __slots__ = ("fits", "queues")

    def __init__(self) -> None:
        self.queues: OrderedDict[str, OrderedDict[str, StepTimes]] = OrderedDict()
        self.fits: dict[str, NormalDist] = {}

    def add(self, queue: str, step_id: str, estimate_s: float, time_s: float) -> None:
        """Records a run that took `time_s` on its worker, whatever the speed of that is."""
        if estimate_s <= 0 or time_s <= 0:
            return
        steps = self.queues.setdefault(queue, OrderedDict())
        self.queues.move_to_end(queue)
        if len(self.queues) > MAX_QUEUES:
            forgotten, _ = self.queues.popitem(last=False)
            self.fits.pop(forgotten, None)
        times = steps.setdefault(step_id, StepTimes())
        times.count += 1
        times.total += math.log(time_s / estimate_s)
        if len(steps) > MAX_STEPS:
            steps.popitem(last=False)
        self.fits.pop(queue, None)

    def log_ratio(self, queue: str) -> NormalDist:
        """Returns the distribution of the log of true time by estimate."""
        fit = self.fits.get(queue)
        if fit is None:
            fit = self.fits[queue] = self._fit(queue)
        return fit

    def expected_s(self, queue: str, estimate_s: float) -> float:
        """Returns the median of the true time of a run on a typical worker."""
        return estimate_s * math.exp(self.log_ratio(queue).mean)

    def quantile_s(self, queue: str, estimate_s: float, chance: float) -> float:
        """Returns the time by which a run ends with this chance on a typical worker."""
        return estimate_s * math.exp(self.log_ratio(queue).inv_cdf(chance))

    def _fit(self, queue: str) -> NormalDist:
        means = [times.mean for times in self.queues.get(queue, {}).values()]
        weight = PRIOR_STEPS + len(means)
        mean = sum(means) / weight
        squares = sum((value - mean) ** 2 for value in means)
        variance = (squares + PRIOR_STEPS * ESTIMATE_DEVIATION**2) / weight
        return NormalDist(mean, math.sqrt(variance))
