"""Reserves workers for jobs that would starve behind smaller ones."""

from collections.abc import Callable

from cicadatray.scheduling.decision import Decision, MoveJob
from cicadatray.scheduling.fence import Fence
from cicadatray.scheduling.job import Job, JobState
from cicadatray.scheduling.placement import Placement, WorkerShare
from cicadatray.scheduling.run_estimates import RunEstimates
from cicadatray.scheduling.scheduling_state import SchedulingState
from cicadatray.scheduling.shape import Scope
from cicadatray.scheduling.unit import Unit

RACKS_PER_FENCE = 8  # one fence for so many racks, and at least one
RACKS_LOOKED_AT = 32
# A fenced job that has waited this many times the fence's delay has checkpointable jobs moved out
# of its way; declared or learned run times cannot make it wait longer than that.
DRAIN_FACTOR = 4.0
SHORTEST_RUN_BEFORE_MOVE_S = 300.0

Place = Callable[[Job, Placement], None]


class FenceKeeper:
    """Hides the idle capacity of fenced workers from all other jobs until their job fits.

    Fences have disjoint workers and each waits for no other, so half-drained fences cannot block
    one another.
    """

    __slots__ = ("delay_s", "estimates", "fences", "state")

    def __init__(self, state: SchedulingState, estimates: RunEstimates, delay_s: float) -> None:
        self.state = state
        self.estimates = estimates
        self.delay_s = delay_s
        self.fences: dict[str, Fence] = {}

    def place_ready(self, place: Place) -> None:
        """Places jobs whose fenced workers have become idle and drops fences without purpose."""
        for fence in list(self.fences.values()):
            job = fence.job
            needed = job.request.shape.accelerators
            room = sum(worker.total for worker in fence.workers if worker.in_service)
            if job.state is not JobState.WAITING or job.cancelled or room < needed:
                self.drop(fence)
            elif sum(worker.unclaimed for worker in fence.workers) >= needed:
                self.drop(fence)
                place(job, take_unclaimed(fence.workers, needed))

    def drop(self, fence: Fence) -> None:
        """Shows the workers to all jobs again."""
        del self.fences[fence.job.request.job_id]
        for worker in fence.workers:
            self.state.fleet.set_fence(worker, None)

    def fence_oldest(self, candidates: list[Job], now_s: float) -> None:
        """Makes fences for jobs that did not fit and have waited too long, in this order."""
        limit = max(1, len(self.state.fleet.racks) // RACKS_PER_FENCE)
        for job in candidates:
            if len(self.fences) >= limit:
                return
            waited_s = now_s - job.waiting_since_s
            if waited_s >= self.delay_s and job.request.job_id not in self.fences:
                self._fence(job, now_s)

    def backfill(self, job: Job, now_s: float) -> Placement | None:
        """Finds room for a short checkpointable job on a fenced worker."""
        request = job.request
        if not request.checkpointable or request.shape.scope is not Scope.WORKER:
            return None
        ends_s = now_s + self.estimates.run_s(job)
        for fence in self.fences.values():
            if ends_s > fence.expected_s:
                continue
            for worker in fence.workers:
                if worker.unclaimed >= request.shape.accelerators:
                    fence.backfilled[request.job_id] = job
                    share = WorkerShare(worker.key, request.shape.accelerators)
                    return Placement((share,))
        return None

    def drain(self, lent: Callable[[Job], bool], now_s: float) -> list[Decision]:
        """Moves checkpointable jobs out of fences that wait for nothing else."""
        decisions: list[Decision] = []
        for fence in self.fences.values():
            starving = now_s - fence.job.waiting_since_s >= DRAIN_FACTOR * self.delay_s
            movable: dict[str, Job] = {}
            releasing = 0
            for worker in fence.workers:
                for job_id, job in self.state.on_worker.get(worker.key, {}).items():
                    if job.state is JobState.STOPPING:
                        releasing += accelerators_on(job, worker)
                    ran_s = now_s - job.placed_s
                    allowed = starving and ran_s >= SHORTEST_RUN_BEFORE_MOVE_S
                    if job_id in fence.backfilled or allowed:
                        movable[job_id] = job
            idle = sum(worker.unclaimed for worker in fence.workers)
            missing = fence.job.request.shape.accelerators - idle - releasing
            chosen = self._choose(fence, movable, lent, missing)
            for job in chosen:
                job.state = JobState.STOPPING
                decisions.append(MoveJob(job.request.job_id))
        return decisions

    def _choose(
        self, fence: Fence, movable: dict[str, Job], lent: Callable[[Job], bool], missing: int
    ) -> list[Job]:
        """Returns jobs that free the missing accelerators, or none if they do not suffice."""
        chosen: list[Job] = []
        usable = [job for job in movable.values() if job.live and job.request.checkpointable]
        usable = [job for job in usable if lent(job)]
        for job in sorted(usable, key=lambda job: -self._gain(fence, job)):
            if missing <= 0:
                break
            chosen.append(job)
            missing -= self._gain(fence, job)
        return chosen if missing <= 0 else []

    def _gain(self, fence: Fence, job: Job) -> int:
        return sum(accelerators_on(job, worker) for worker in fence.workers)

    def _fence(self, job: Job, now_s: float) -> None:
        best: tuple[float, list[Unit]] | None = None
        for workers in self._areas(job.request.shape.scope):
            found = self._soonest(workers, job.request.shape.accelerators, now_s)
            if found is not None and (best is None or found[0] < best[0]):
                best = found
        if best is None:
            return
        fence = Fence(job, best[1], now_s + best[0])
        self.fences[job.request.job_id] = fence
        for worker in fence.workers:
            self.state.fleet.set_fence(worker, job.request.job_id)

    def _areas(self, scope: Scope) -> list[list[Unit]]:
        """Returns the workers of units to choose from, those with the most idle racks first."""
        areas: list[list[Unit]] = []
        for key, data_centre in self.state.fleet.data_centres.items():
            if scope is Scope.DATA_CENTRE:
                areas.append(data_centre.workers())
                continue
            racks = self.state.fleet.indexes[key].descending(RACKS_LOOKED_AT)
            for rack in racks:
                if scope is Scope.RACK:
                    areas.append(rack.workers())
                else:
                    areas.extend([worker] for worker in rack.workers())
        return areas

    def _soonest(
        self, workers: list[Unit], needed: int, now_s: float
    ) -> tuple[float, list[Unit]] | None:
        """Returns when enough of the workers should be idle, and which ones."""
        usable = [w for w in workers if w.in_service and w.fence is None]
        ends: list[tuple[float, int, int]] = []
        for position, worker in enumerate(usable):
            ends.append((0.0, position, worker.unclaimed))
            for job in self.state.on_worker.get(worker.key, {}).values():
                remaining_s = self.estimates.remaining_s(job, now_s)
                ends.append((remaining_s, position, accelerators_on(job, worker)))
        chosen: dict[int, Unit] = {}
        reached = 0
        for wait_s, position, accelerators in sorted(ends):
            if accelerators <= 0:
                continue
            chosen[position] = usable[position]
            reached += accelerators
            if reached >= needed:
                return wait_s, list(chosen.values())
        return None


def accelerators_on(job: Job, worker: Unit) -> int:
    """Returns how many accelerators of the worker the job holds."""
    shares = job.placement.shares if job.placement is not None else ()
    return sum(share.accelerators for share in shares if share.worker_id == worker.key)


def take_unclaimed(workers: list[Unit], needed: int) -> Placement:
    """Takes idle accelerators of fenced workers, smallest remnants first."""
    shares: list[WorkerShare] = []
    for worker in sorted(workers, key=lambda worker: (worker.unclaimed, worker.order)):
        taken = min(needed, worker.unclaimed)
        if taken > 0:
            shares.append(WorkerShare(worker.key, taken))
            needed -= taken
    return Placement(tuple(shares))
