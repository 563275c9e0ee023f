"""The common base of the two baseline policies."""

from cicadatray.scheduling.decision import Decision, FailJob, PlaceJob
from cicadatray.scheduling.explanation import Explanation
from cicadatray.scheduling.job import Job
from cicadatray.scheduling.placement import Placement, WorkerShare
from cicadatray.scheduling.policies.policy import SchedulingPolicy
from cicadatray.scheduling.shape import Shape
from cicadatray.scheduling.unit import Unit

BASELINE_ATTEMPTS = 3  # without a limit, a job that always fails would be retried for ever


def allocate_in_order(workers: list[Unit], needed: int) -> Placement:
    """Returns a placement on the idle accelerators of the workers in this order."""
    shares = []
    for worker in workers:
        taken = min(needed, worker.idle)
        if taken > 0:
            shares.append(WorkerShare(worker.key, taken))
            needed -= taken
    return Placement(tuple(shares))


class BaselinePolicy(SchedulingPolicy):
    """Places whole gangs without guarantees, shares or aging; subclasses choose order and unit."""

    __slots__ = ()

    def find(self, shape: Shape) -> Placement | None:
        """Returns a placement on idle capacity, or None."""
        raise NotImplementedError

    def order(self, jobs: list[Job]) -> list[Job]:
        """Returns the waiting jobs in the order in which they are tried."""
        raise NotImplementedError

    def decide(self, now_s: float) -> list[Decision]:
        """Tries to place every waiting job once."""
        decisions: list[Decision] = []
        unplaceable: set[Shape] = set()
        for job in self.order(list(self.state.waiting.values())):
            shape = job.request.shape
            if len(job.failures) >= BASELINE_ATTEMPTS:
                self.state.remove(job)
                decisions.append(FailJob(job.request.job_id, f"failed {len(job.failures)} times"))
                continue
            placement = None if shape in unplaceable else self.find(shape)
            if placement is None:
                unplaceable.add(shape)
                continue
            self.state.place(job, placement, now_s)
            decisions.append(PlaceJob(job.request.job_id, placement))
        return decisions

    def explain(self, job: Job, now_s: float) -> Explanation:
        """Returns whether the job waits for idle capacity."""
        reason = "runs or starts" if job.holds_capacity else "no unit has enough idle accelerators"
        return Explanation(job.request.job_id, job.state.value, reason)
