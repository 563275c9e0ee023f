"""A seeded workload, the same for every policy."""

import msgspec

from cicadatray.internal.bench.measurement.job_plan import JobPlan
from cicadatray.internal.bench.measurement.worker_outage import WorkerOutage


class Workload(msgspec.Struct, frozen=True):
    """Jobs in order of submission, the faults of the workers, and the times of leader changes."""

    horizon_s: float
    plans: tuple[JobPlan, ...]
    losses: tuple[WorkerOutage, ...]
    failing: tuple[WorkerOutage, ...]
    leader_changes: tuple[float, ...] = ()

    def longest_fair_wait_s(self, capacity: int) -> float:
        """Returns a bound on the wait of any job when no job is overtaken for long.

        It is the largest backlog of a fleet that serves all work without loss, in seconds of the
        whole fleet, plus the longest run time, for which a needed block may be occupied.
        """
        backlog = 0.0
        largest = 0.0
        previous_s = 0.0
        for plan in self.plans:
            elapsed_s = plan.request.submitted_s - previous_s
            backlog = max(0.0, backlog - elapsed_s * capacity) + plan.work
            largest = max(largest, backlog)
            previous_s = plan.request.submitted_s
        return largest / capacity + max(plan.run_s for plan in self.plans)
