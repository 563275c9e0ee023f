"""Tracks the held accelerators of the fake fleet independently of the scheduler's accounting."""

from collections import Counter

from cicadatray.internal.bench.measurement.fragmentation import (
    FragmentationIntegral,
    count_idle,
)
from cicadatray.internal.bench.measurement.units import unit_of
from cicadatray.scheduling.inventory import Inventory, WorkerRecord
from cicadatray.scheduling.placement import Placement
from cicadatray.scheduling.shape import Shape


class CapacityLedger:
    """Tracks the held accelerators per worker and the workers out of service."""

    __slots__ = ("fragmentation_integral", "held", "inventory", "large_job", "lost", "workers")

    def __init__(self, inventory: Inventory, large_job: Shape, horizon_s: float) -> None:
        self.inventory = inventory
        self.large_job = large_job
        self.workers: dict[str, WorkerRecord] = {w.worker_id: w for w in inventory.workers}
        self.held: Counter[str] = Counter()
        self.lost: set[str] = set()
        self.fragmentation_integral = FragmentationIntegral(horizon_s)
        self.update_fragmentation(0.0)

    def idle(self) -> dict[str, int]:
        """Returns the idle accelerators per worker; a lost worker has none."""
        return {
            worker_id: 0 if worker_id in self.lost else worker.accelerators - self.held[worker_id]
            for worker_id, worker in self.workers.items()
        }

    def find_problem(self, placement: Placement, shape: Shape) -> str | None:
        """Returns why the whole gang cannot start at this placement, or None if it can."""
        shares = placement.shares
        if sum(share.accelerators for share in shares) != shape.accelerators:
            return "the shares do not add up to the shape"
        if len({share.worker_id for share in shares}) != len(shares):
            return "a worker has two shares"
        if any(share.worker_id not in self.workers for share in shares):
            return "a worker is not in the inventory"
        if len({unit_of(self.workers[share.worker_id], shape.scope) for share in shares}) != 1:
            return "the workers are not in one unit"
        idle = self.idle()
        if any(share.accelerators > idle[share.worker_id] for share in shares):
            return "a worker has too few idle accelerators or is lost"
        return None

    def hold(self, placement: Placement, now_s: float) -> None:
        """Marks the accelerators of a gang as held."""
        for share in placement.shares:
            self.held[share.worker_id] += share.accelerators
        self.update_fragmentation(now_s)

    def release(self, placement: Placement, now_s: float) -> None:
        """Releases the accelerators of a gang."""
        for share in placement.shares:
            self.held[share.worker_id] -= share.accelerators
        self.update_fragmentation(now_s)

    def update_fragmentation(self, now_s: float) -> None:
        """Updates the fragmentation integral with the current counts."""
        counts = count_idle(self.inventory, self.lost, self.idle(), self.large_job)
        self.fragmentation_integral.update(now_s, counts)
