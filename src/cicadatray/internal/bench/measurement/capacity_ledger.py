"""Which accelerators of the fake fleet are held, kept apart from the scheduler's bookkeeping."""

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
    """Held accelerators per worker and the workers out of service."""

    __slots__ = ("held", "integral", "inventory", "large_job", "lost", "workers")

    def __init__(self, inventory: Inventory, large_job: Shape, horizon_s: float) -> None:
        self.inventory = inventory
        self.large_job = large_job
        self.workers: dict[str, WorkerRecord] = {w.worker_id: w for w in inventory.workers}
        self.held: Counter[str] = Counter()
        self.lost: set[str] = set()
        self.integral = FragmentationIntegral(horizon_s)
        self.changed(0.0)

    def idle(self) -> dict[str, int]:
        """Returns the idle accelerators per worker; a lost worker has none."""
        return {
            worker_id: 0 if worker_id in self.lost else worker.accelerators - self.held[worker_id]
            for worker_id, worker in self.workers.items()
        }

    def problem_with(self, placement: Placement, shape: Shape) -> str | None:
        """Returns why the whole gang cannot start at this placement, if so."""
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
        """Takes the accelerators of a gang."""
        for share in placement.shares:
            self.held[share.worker_id] += share.accelerators
        self.changed(now_s)

    def release(self, placement: Placement, now_s: float) -> None:
        """Gives the accelerators of a gang back."""
        for share in placement.shares:
            self.held[share.worker_id] -= share.accelerators
        self.changed(now_s)

    def changed(self, now_s: float) -> None:
        """Takes the present counts into the fragmentation integral."""
        counts = count_idle(self.inventory, self.lost, self.idle(), self.large_job)
        self.integral.change(now_s, counts)
