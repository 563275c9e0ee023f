"""The fragmentation metric.

At each moment let `idle(u)` be the idle accelerators of unit `u` of the large job's scope (a
worker, a rack or a data centre), on workers that are in service, and `L` the large job's
accelerators. The accelerators `idle(u) mod L` are stranded: those in a unit with fewer than `L`
idle ones, and those left over beyond whole multiples of `L`. Fragmentation over a period is the
time integral of stranded accelerators divided by the time integral of idle accelerators (0 when
nothing was idle). Accelerators are held from the decision that places a gang until its release.
"""

from collections.abc import Mapping

from cicadatray.internal.bench.measurement.units import unit_of
from cicadatray.scheduling.inventory import Inventory
from cicadatray.scheduling.shape import Shape


def stranded_accelerators(
    inventory: Inventory, idle: Mapping[str, int], large_job: Shape
) -> tuple[int, int]:
    """Returns the stranded and all idle accelerators, given those idle per worker."""
    per_unit: dict[tuple[str, ...], int] = {}
    for worker in inventory.workers:
        unit = unit_of(worker, large_job.scope)
        per_unit[unit] = per_unit.get(unit, 0) + idle[worker.worker_id]
    stranded = sum(count % large_job.accelerators for count in per_unit.values())
    return stranded, sum(per_unit.values())


class FragmentationIntegral:
    """Integrates both counts over the time before the horizon."""

    __slots__ = ("horizon_s", "idle", "idle_integral", "since_s", "stranded", "stranded_integral")

    def __init__(self, horizon_s: float) -> None:
        self.horizon_s = horizon_s
        self.since_s = 0.0
        self.stranded = 0
        self.idle = 0
        self.stranded_integral = 0.0
        self.idle_integral = 0.0

    def change(self, now_s: float, stranded: int, idle: int) -> None:
        """Accounts for the time since the previous change, then takes the new counts."""
        until_s = min(now_s, self.horizon_s)
        elapsed_s = max(0.0, until_s - self.since_s)
        self.stranded_integral += self.stranded * elapsed_s
        self.idle_integral += self.idle * elapsed_s
        self.since_s = until_s
        self.stranded = stranded
        self.idle = idle

    def share(self) -> float:
        """Returns the stranded share of the idle accelerators."""
        return self.stranded_integral / self.idle_integral if self.idle_integral else 0.0
