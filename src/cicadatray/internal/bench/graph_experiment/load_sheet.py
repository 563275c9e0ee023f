"""The expected load of a deployment, from which the experiment generates its jobs."""

import math

import msgspec

from cicadatray.internal.bench.graph_experiment.disturbances import DisturbanceSheet
from cicadatray.internal.bench.graph_experiment.job_variation import JobVariation
from cicadatray.scheduling.taskgraphs.job_value import CORE_SECONDS_PER_WORTH
from cicadatray.scheduling.taskgraphs.resources import Resources

# Multiples of it spread evenly over the unit interval, so that each rack has workers of each speed.
GOLDEN_RATIO = 0.618034


class JobKind(msgspec.Struct, frozen=True, kw_only=True):
    """A kind of job. `worth` and `late_worth` are what a job earns on time and late.

    Without `variation`, all jobs of the kind have one step and the same number of tasks.
    """

    name: str
    priority: int
    rate_per_s: float
    tasks: int
    estimate_s: float
    cpu_millis: int
    most_accelerators: int
    is_gang: bool
    stretch: float
    target_latency_s: float
    worth: float
    late_worth: float
    variation: JobVariation | None = None


class SpeedClass(msgspec.Struct, frozen=True):
    """A share of the workers and their speed in proportion to the worker of the estimates."""

    share: float
    speed: float


class ArrivalWave(msgspec.Struct, frozen=True):
    """A sinusoidal change of the rates of all kinds by a share `swing` over `period_s` seconds."""

    swing: float = 0.0
    period_s: float = 1.0

    def factor(self, now_s: float) -> float:
        """Returns the factor of the rates at a time."""
        return 1.0 + self.swing * math.sin(2 * math.pi * now_s / self.period_s)


class LoadSheet(msgspec.Struct, frozen=True, kw_only=True):
    """The expected load of a deployment.

    `guaranteed` is the number of accelerators in each account's guarantee; `guarantees` holds those
    of accounts that differ. Jobs with a variation come from `accounts`, in proportion to these
    weights. `core_seconds_per_worth` is the wasted work that costs as much as one unit of worth.
    `speeds` are the classes of workers, which alternate within a rack in proportion to their
    shares; without any, all workers are equally fast. `arrivals_end_s` is when the last jobs
    arrive.
    """

    name: str
    workers: int
    capacity: Resources
    guaranteed: int
    kinds: tuple[JobKind, ...]
    guarantees: dict[str, int] = {}
    accounts: dict[str, float] = {}
    core_seconds_per_worth: float = CORE_SECONDS_PER_WORTH
    disturbances: DisturbanceSheet | None = None
    workers_per_rack: int = 3
    speeds: tuple[SpeedClass, ...] = ()
    wave: ArrivalWave = ArrivalWave()
    arrivals_end_s: float = 52.0

    def guarantee_of(self, account: str) -> int:
        """Returns the number of accelerators in the guarantee of an account."""
        return self.guarantees.get(account, self.guaranteed)

    def speed_of(self, number: int) -> float:
        """Returns the speed of a worker, which is constant."""
        passed = 0.0
        position = (number * GOLDEN_RATIO) % 1.0
        for speed_class in self.speeds:
            passed += speed_class.share
            if position < passed:
                return speed_class.speed
        return 1.0

    def worker_id(self, number: int) -> str:
        """Returns the identifier of a worker."""
        return f"w{number}"
