"""Idle accelerators that cannot serve the deployment's large job."""

from collections.abc import Mapping

from cicadatray.scheduling.inventory import Inventory, WorkerRecord
from cicadatray.scheduling.shape import Scope, Shape


def unit_key(worker: WorkerRecord, scope: Scope) -> tuple[str, ...]:
    """Names the unit of a scope that a worker belongs to."""
    if scope is Scope.DATA_CENTRE:
        return (worker.data_centre,)
    if scope is Scope.RACK:
        return (worker.data_centre, worker.rack)
    return (worker.data_centre, worker.rack, worker.worker_id)


def stranded_fraction(inventory: Inventory, idle: Mapping[str, int], large_job: Shape) -> float:
    """Returns the share of the idle accelerators that are left over beyond whole large jobs.

    Args:
        inventory: all workers.
        idle: idle accelerators of each worker; a worker out of service is absent or has none.
        large_job: the shape that the rules name.
    """
    per_unit: dict[tuple[str, ...], int] = {}
    for worker in inventory.workers:
        unit = unit_key(worker, large_job.scope)
        per_unit[unit] = per_unit.get(unit, 0) + idle.get(worker.worker_id, 0)
    total = sum(per_unit.values())
    stranded = sum(count % large_job.accelerators for count in per_unit.values())
    return stranded / total if total else 0.0
