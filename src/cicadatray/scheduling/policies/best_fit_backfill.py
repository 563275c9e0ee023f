"""The best-fit baseline with backfill."""

from cicadatray.scheduling.job import Job
from cicadatray.scheduling.placement import Placement
from cicadatray.scheduling.policies.baseline import BaselinePolicy, allocate_in_order
from cicadatray.scheduling.registry import scheduling_policy
from cicadatray.scheduling.shape import Shape


@scheduling_policy("best_fit_backfill")
class BestFitBackfillPolicy(BaselinePolicy):
    """Places jobs in arrival order with backfill, each in the fullest unit where it fits.

    Backfill makes no reservation for the job at the head of the queue, so a large job can be
    overtaken without limit.
    """

    __slots__ = ()

    def order(self, jobs: list[Job]) -> list[Job]:
        """Returns the jobs in arrival order."""
        return sorted(jobs, key=lambda job: job.sequence)

    def find(self, shape: Shape) -> Placement | None:
        """Returns a placement in the unit with the fewest idle accelerators that suffice."""
        units = self.state.fleet.units(shape.scope)
        fitting = [unit for unit in units if unit.idle >= shape.accelerators]
        if not fitting:
            return None
        unit = min(fitting, key=lambda unit: (unit.idle, unit.order))
        workers = sorted(unit.workers(), key=lambda worker: (worker.idle, worker.order))
        return allocate_in_order(workers, shape.accelerators)
