"""Units within which the workers of a gang must lie: worker, rack or data centre."""

from cicadatray.scheduling.inventory import WorkerRecord
from cicadatray.scheduling.shape import Scope

SCOPE_DEPTH = {Scope.DATA_CENTRE: 1, Scope.RACK: 2, Scope.WORKER: 3}


def unit_of(worker: WorkerRecord, scope: Scope) -> tuple[str, ...]:
    """Returns the key of the unit; keys of narrower units extend those of the wider ones."""
    return (worker.data_centre, worker.rack, worker.worker_id)[: SCOPE_DEPTH[scope]]
