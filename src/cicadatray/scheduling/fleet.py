"""The tree of data centres, racks and workers, with indexes of idle capacity."""

from collections.abc import Iterable

from cicadatray.scheduling.inventory import Inventory, WorkerRecord
from cicadatray.scheduling.placement import Placement
from cicadatray.scheduling.rack_index import RackIndex
from cicadatray.scheduling.shape import Scope, Shape
from cicadatray.scheduling.unit import Unit


class Fleet:
    """Maintains the totals of every unit and the rack index of every data centre.

    `evacuated_data_centres` may name data centres without workers, which the inventory may get.
    """

    __slots__ = (
        "data_centres",
        "evacuated_data_centres",
        "largest_shapes",
        "last_order",
        "rack_indexes",
        "racks",
        "records",
        "workers",
    )

    def __init__(self, inventory: Inventory) -> None:
        self.workers: dict[str, Unit] = {}
        self.racks: dict[str, Unit] = {}
        self.data_centres: dict[str, Unit] = {}
        self.rack_indexes: dict[str, RackIndex] = {}
        self.records: dict[str, WorkerRecord] = {}
        self.largest_shapes: dict[Scope, Shape] = {}
        self.last_order = 0
        self.evacuated_data_centres: frozenset[str] = frozenset()
        self.replace_inventory(inventory)

    def replace_inventory(self, inventory: Inventory) -> bool:
        """Applies the differences to the previous inventory and returns whether there were any.

        The unit of a removed worker stays with no capacity, because gangs may still hold it.
        """
        records = {record.worker_id: record for record in inventory.workers}
        if records == self.records:
            return False
        for worker_id, record in self.records.items():
            if records.get(worker_id) != record:
                self._retire_worker(worker_id, record)
        for worker_id, record in records.items():
            if self.records.get(worker_id) != record:
                self._add_worker(record)
        self.records = records
        self.largest_shapes.clear()
        return True

    def units(self, scope: Scope) -> Iterable[Unit]:
        """Returns all units of a scope in the order of the inventory."""
        if scope is Scope.WORKER:
            return self.workers.values()
        return self.racks.values() if scope is Scope.RACK else self.data_centres.values()

    def units_with_most_idle(self, scope: Scope, count: int) -> list[Unit]:
        """Returns up to `count` units with the most idle capacity.

        Workers and racks are chosen from the `count` racks with the most idle capacity in each data
        centre.
        """
        if scope is Scope.DATA_CENTRE:
            units = list(self.data_centres.values())
        else:
            indexes = self.rack_indexes.values()
            units = [rack for index in indexes for rack in index.most_idle_first(count)]
        if scope is Scope.WORKER:
            units = [worker for rack in units for worker in rack.children.values()]
        return sorted(units, key=lambda unit: (-unit.idle, unit.order))[:count]

    def largest_shape(self, scope: Scope) -> Shape:
        """Returns the largest shape that a unit could hold with all its workers in service."""
        if scope not in self.largest_shapes:
            sizes: dict[str, int] = {}
            for record in self.records.values():
                unit = self.workers[record.worker_id].enclosing(scope)
                sizes[unit.key] = sizes.get(unit.key, 0) + record.accelerators
            self.largest_shapes[scope] = Shape(max(sizes.values(), default=0), scope)
        return self.largest_shapes[scope]

    def occupy(self, placement: Placement) -> None:
        """Marks the accelerators of a placement as allocated to a gang."""
        for worker, accelerators in self.worker_shares(placement):
            worker.allocated += accelerators
            self.refresh(worker)

    def vacate(self, placement: Placement) -> None:
        """Marks the accelerators of a placement as idle again."""
        for worker, accelerators in self.worker_shares(placement):
            worker.allocated -= accelerators
            self.refresh(worker)

    def claim(self, placement: Placement, sign: int) -> None:
        """Marks accelerators as claimed by a reclaim in progress; `sign` -1 takes the mark away."""
        for worker, accelerators in self.worker_shares(placement):
            worker.claimed += sign * accelerators
            self.refresh(worker)

    def worker_shares(self, placement: Placement) -> list[tuple[Unit, int]]:
        """Returns the workers of a placement with the accelerators that it takes on each.

        Workers without a unit are left out: a restored placement may name workers removed before.
        """
        shares = placement.shares
        present = [share for share in shares if share.worker_id in self.workers]
        return [(self.workers[share.worker_id], share.accelerators) for share in present]

    def set_lost(self, worker: Unit, lost: bool) -> None:
        """Takes an unreachable worker out of service or returns it."""
        worker.lost = lost
        self.refresh(worker)

    def set_quarantined(self, worker: Unit, quarantined: bool) -> None:
        """Takes a worker that fails its tasks out of service or returns it."""
        worker.quarantined = quarantined
        self.refresh(worker)

    def set_evacuated(self, data_centres: frozenset[str]) -> list[Unit]:
        """Takes the workers of evacuated data centres out of service and returns all others.

        Returns the workers for which this is a change.
        """
        changed_names = self.evacuated_data_centres ^ data_centres
        self.evacuated_data_centres = data_centres
        units = [self.data_centres[name] for name in sorted(changed_names & set(self.data_centres))]
        changed = [worker for unit in units for worker in unit.workers()]
        for worker in changed:
            worker.evacuated = worker.enclosing(Scope.DATA_CENTRE).key in data_centres
            self.refresh(worker)
        return changed

    def set_reserving_job(self, worker: Unit, job_id: str | None) -> None:
        """Hides the idle capacity of a worker from all searches; None makes it visible again."""
        worker.reserving_job_id = job_id
        self.refresh(worker)

    def refresh(self, worker: Unit) -> None:
        """Recomputes a worker's totals and adds the difference to its rack and data centre."""
        capacity = worker.installed if worker.in_service else 0
        idle = worker.unclaimed if worker.reserving_job_id is None else 0
        if capacity == worker.capacity and idle == worker.idle:
            return
        for unit in worker.with_ancestors()[1:]:
            unit.capacity += capacity - worker.capacity
            unit.idle += idle - worker.idle
        worker.capacity = capacity
        worker.idle = idle
        worker.max_worker_idle = idle
        rack = worker.enclosing(Scope.RACK)
        rack.max_worker_idle = max(child.idle for child in rack.children.values())
        self.rack_indexes[worker.enclosing(Scope.DATA_CENTRE).key].update(rack)

    def _retire_worker(self, worker_id: str, record: WorkerRecord) -> None:
        worker = self.workers[worker_id]
        worker.installed = 0
        self.refresh(worker)

    def _add_worker(self, record: WorkerRecord) -> None:
        rack = self._find_or_add_rack(record)
        worker = self.workers.get(record.worker_id)
        if worker is None or worker.parent is not rack:
            previous = worker
            worker = Unit(record.worker_id, Scope.WORKER, rack, self._next_order())
            if previous is not None:
                worker.allocated = previous.allocated
                worker.claimed = previous.claimed
                worker.lost = previous.lost
                worker.quarantined = previous.quarantined
                previous.enclosing(Scope.RACK).children.pop(record.worker_id, None)
            self.workers[record.worker_id] = worker
            rack.children[record.worker_id] = worker
        worker.installed = record.accelerators
        worker.evacuated = record.data_centre in self.evacuated_data_centres
        self.refresh(worker)

    def _find_or_add_rack(self, record: WorkerRecord) -> Unit:
        data_centre = self.data_centres.get(record.data_centre)
        if data_centre is None:
            data_centre = Unit(record.data_centre, Scope.DATA_CENTRE, None, self._next_order())
            self.data_centres[data_centre.key] = data_centre
            self.rack_indexes[data_centre.key] = RackIndex()
        key = f"{record.data_centre}/{record.rack}"
        rack = self.racks.get(key)
        if rack is None:
            rack = Unit(key, Scope.RACK, data_centre, self._next_order())
            self.racks[key] = rack
            data_centre.children[key] = rack
        return rack

    def _next_order(self) -> int:
        self.last_order += 1
        return self.last_order
