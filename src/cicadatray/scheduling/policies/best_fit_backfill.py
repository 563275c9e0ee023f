"""The best-fit baseline with backfill."""

from cicadatray.scheduling.job import Job
from cicadatray.scheduling.placement import Placement
from cicadatray.scheduling.policies.baseline import BaselinePolicy, allocate_in_order
from cicadatray.scheduling.registry import scheduling_policy
from cicadatray.scheduling.shape import Shape


@scheduling_policy("best_fit_backfill")
class BestFitBackfillPolicy(BaselinePolicy):
    """Arrival order, later jobs fill what earlier ones cannot use; the fullest unit that fits.

    The backfill makes no reservation for the job at the head of the queue, so a large job can be
    overtaken without limit.
    """

    __slots__ = ()

    def order(self, jobs: list[Job]) -> list[Job]:
        """Returns the jobs by arrival."""
        return sorted(jobs, key=lambda job: job.sequence)

    def find(self, shape: Shape) -> Placement | None:
        """Returns the unit with the fewest idle accelerators that still fits."""
        units = self.state.fleet.units(shape.scope)
        fitting = [unit for unit in units if unit.idle >= shape.accelerators]
        if not fitting:
            return None
        unit = min(fitting, key=lambda unit: (unit.idle, unit.order))
        workers = sorted(unit.workers(), key=lambda worker: (worker.idle, worker.order))
        return allocate_in_order(workers, shape.accelerators)
