"""The fragmentation metric.

At each moment let `idle(u)` be the idle accelerators of unit `u` of the large job's scope (a
worker, a rack or a data centre), on workers that are in service, and `L` the large job's
accelerators. The accelerators `idle(u) mod L` are stranded: those in a unit with fewer than `L`
idle ones, and those left over beyond whole multiples of `L`. Fragmentation over a period is the
time integral of stranded accelerators divided by the time integral of idle accelerators (0 when
nothing was idle). Accelerators are held from the decision that places a gang until its release.

Some accelerators are stranded however the gangs are arranged: with `I` idle accelerators in all,
and room for `B` large jobs in the empty units, at best `min(I // L, B)` large jobs fit. The floor
is the same quotient for that arrangement. Avoidable fragmentation is the difference between the
two: the share of idle accelerators that would serve large jobs in the best arrangement but do not.
"""

from collections.abc import Mapping, Set

import msgspec

from cicadatray.internal.bench.measurement.units import unit_of
from cicadatray.scheduling.inventory import Inventory
from cicadatray.scheduling.shape import Shape


class IdleCounts(msgspec.Struct, frozen=True):
    """Numbers of accelerators at one moment; `unavoidable` ones are stranded in any arrangement."""

    idle: int = 0
    stranded: int = 0
    unavoidable: int = 0


def count_idle(
    inventory: Inventory, lost: Set[str], idle: Mapping[str, int], large_job: Shape
) -> IdleCounts:
    """Counts idle accelerators, given those idle per worker and the workers out of service."""
    idle_by_unit: dict[tuple[str, ...], int] = {}
    size_by_unit: dict[tuple[str, ...], int] = {}
    for worker in inventory.workers:
        unit = unit_of(worker, large_job.scope)
        size = 0 if worker.worker_id in lost else worker.accelerators
        idle_by_unit[unit] = idle_by_unit.get(unit, 0) + idle[worker.worker_id]
        size_by_unit[unit] = size_by_unit.get(unit, 0) + size
    needed = large_job.accelerators
    total_idle = sum(idle_by_unit.values())
    most_blocks = min(total_idle // needed, sum(size // needed for size in size_by_unit.values()))
    stranded = sum(count % needed for count in idle_by_unit.values())
    return IdleCounts(total_idle, stranded, total_idle - most_blocks * needed)


class FragmentationIntegral:
    """Integrates the idle counts over the time before the horizon."""

    __slots__ = (
        "counts",
        "horizon_s",
        "idle_integral",
        "since_s",
        "stranded_integral",
        "unavoidable_integral",
    )

    def __init__(self, horizon_s: float) -> None:
        self.horizon_s = horizon_s
        self.since_s = 0.0
        self.counts = IdleCounts()
        self.idle_integral = 0.0
        self.stranded_integral = 0.0
        self.unavoidable_integral = 0.0

    def update(self, now_s: float, counts: IdleCounts) -> None:
        """Adds the time since the previous update with the old counts, then sets the new counts."""
        until_s = min(now_s, self.horizon_s)
        elapsed_s = max(0.0, until_s - self.since_s)
        self.idle_integral += self.counts.idle * elapsed_s
        self.stranded_integral += self.counts.stranded * elapsed_s
        self.unavoidable_integral += self.counts.unavoidable * elapsed_s
        self.since_s = until_s
        self.counts = counts

    def share(self) -> float:
        """Returns the stranded share of the idle accelerators."""
        return self.stranded_integral / self.idle_integral if self.idle_integral else 0.0

    def floor(self) -> float:
        """Returns the share that is stranded in any arrangement of the same gangs."""
        return self.unavoidable_integral / self.idle_integral if self.idle_integral else 0.0
