"""The first-fit baseline."""

from cicadatray.scheduling.job import Job
from cicadatray.scheduling.placement import Placement
from cicadatray.scheduling.policies.baseline import BaselinePolicy, allocate_in_order
from cicadatray.scheduling.registry import scheduling_policy
from cicadatray.scheduling.shape import Shape


@scheduling_policy("first_fit")
class FirstFitPolicy(BaselinePolicy):
    """Places jobs in arrival order, each in the first unit of the inventory where it fits."""

    __slots__ = ()

    def order(self, jobs: list[Job]) -> list[Job]:
        """Returns the jobs in arrival order."""
        return sorted(jobs, key=lambda job: job.sequence)

    def find(self, shape: Shape) -> Placement | None:
        """Returns a placement in the first unit with enough idle accelerators."""
        for unit in self.state.fleet.units(shape.scope):
            if unit.idle >= shape.accelerators:
                return allocate_in_order(unit.workers(), shape.accelerators)
        return None
