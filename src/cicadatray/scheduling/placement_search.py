"""Finds the placement that fragments idle capacity the least."""

from collections.abc import Iterable

from cicadatray.scheduling.fleet import Fleet
from cicadatray.scheduling.placement import Placement, WorkerShare
from cicadatray.scheduling.shape import Scope, Shape
from cicadatray.scheduling.unit import Unit

MAX_CANDIDATE_RACKS = 12  # per data centre; the index yields the least idle racks first


class PlacementSearch:
    """Best-fit search that minimises the idle accelerators stranded by a placement.

    Stranded accelerators are idle but unusable for the large job of the rules.
    """

    __slots__ = ("fleet", "large_job")

    def __init__(self, fleet: Fleet, large_job: Shape) -> None:
        self.fleet = fleet
        self.large_job = large_job

    def find(self, shape: Shape, avoided: set[str]) -> Placement | None:
        """Returns the best placement on idle capacity without the workers in `avoided`, or None."""
        best_ranked: tuple[tuple[int, int, int], Placement] | None = None
        for placement, unit in self._candidates(shape, avoided):
            rank = (self.stranded_change(placement), unit.idle - shape.accelerators, unit.order)
            if best_ranked is None or rank < best_ranked[0]:
                best_ranked = (rank, placement)
        return best_ranked[1] if best_ranked is not None else None

    def stranded_change(self, placement: Placement, sign: int = 1) -> int:
        """Returns by how much the placement raises the number of stranded accelerators.

        With `sign` -1 the placement is released instead. Stranded accelerators are those beyond
        whole multiples of the large job in each unit of its scope.
        """
        size = self.large_job.accelerators
        units: dict[str, tuple[int, int]] = {}
        for worker, accelerators in self.fleet.worker_shares(placement):
            unit = worker.enclosing(self.large_job.scope)
            idle, idle_after = units.get(unit.key, (unit.idle, unit.idle))
            units[unit.key] = (idle, idle_after - sign * accelerators)
        return sum(idle_after % size - idle % size for idle, idle_after in units.values())

    def _candidates(self, shape: Shape, avoided: set[str]) -> Iterable[tuple[Placement, Unit]]:
        needed = shape.accelerators
        for key, data_centre in self.fleet.data_centres.items():
            if data_centre.idle < needed:
                continue
            index = self.fleet.rack_indexes[key]
            if shape.scope is Scope.DATA_CENTRE:
                placement = allocate_from_racks(index.least_idle_first(1, 0), needed, avoided)
                if placement is not None:
                    yield placement, data_centre
                continue
            is_worker_scope = shape.scope is Scope.WORKER
            racks = index.least_idle_first(needed, needed if is_worker_scope else 0)
            for position, rack in enumerate(racks):
                if position >= MAX_CANDIDATE_RACKS and not avoided:
                    break
                placement = allocate_from_worker(rack, needed, avoided) if is_worker_scope else None
                placement = (
                    placement if is_worker_scope else allocate_from_racks([rack], needed, avoided)
                )
                if placement is not None:
                    yield placement, rack


def allocate_from_racks(racks: Iterable[Unit], needed: int, avoided: set[str]) -> Placement | None:
    """Allocates idle accelerators rack by rack; returns None when there are not enough.

    In each rack the workers with the fewest idle accelerators come first, so that wholly idle
    workers stay whole.
    """
    shares: list[WorkerShare] = []
    for rack in racks:
        for worker in sorted(rack.children.values(), key=lambda w: (w.idle, w.order)):
            taken = min(needed, worker.idle)
            if taken > 0 and worker.key not in avoided:
                shares.append(WorkerShare(worker.key, taken))
                needed -= taken
        if needed == 0:
            return Placement(tuple(shares))
    return None


def allocate_from_worker(rack: Unit, needed: int, avoided: set[str]) -> Placement | None:
    """Allocates all accelerators on the worker of the rack where they fit tightest, if any."""
    fitting = [w for w in rack.children.values() if w.idle >= needed and w.key not in avoided]
    if not fitting:
        return None
    worker = min(fitting, key=lambda w: (w.idle, w.order))
    return Placement((WorkerShare(worker.key, needed),))
