"""Finds the cheapest placement of an urgent job inside one unit."""

from cicadatray.scheduling.guarantee_plan import GuaranteePlan
from cicadatray.scheduling.job import Job, JobState
from cicadatray.scheduling.job_request import JobRequest
from cicadatray.scheduling.placement import Placement, WorkerShare
from cicadatray.scheduling.reclaim_option import ReclaimOption
from cicadatray.scheduling.scheduling_state import SchedulingState
from cicadatray.scheduling.shape import Scope
from cicadatray.scheduling.unit import Unit

# Costs are accelerator-seconds of work. A preemption costs a restart besides the lost work, so one
# victim with somewhat more lost work is preferred over many small ones.
PREEMPTION_COST = 600.0
CHECKPOINT_COST_S = 30.0
WAIT_FOR_RELEASE_COST = 1.0
# An unreachable gang frees its capacity only when its lease expires, later than the target for the
# start of urgent jobs. An urgent job on lent capacity was admitted inside a guarantee that a loss
# has since taken away.
UNREACHABLE_COST = 1e7
LENT_URGENT_COST = 1e8
MAX_RACKS_PER_OPTION = 16
NO_WORKERS: frozenset[str] = frozenset()


class ReclaimSearch:
    """Chooses workers and victims so that little work is lost and few jobs are preempted."""

    __slots__ = ("plan", "state")

    def __init__(self, state: SchedulingState, plan: GuaranteePlan) -> None:
        self.state = state
        self.plan = plan

    def cheapest_option(
        self, request: JobRequest, unit: Unit, now_s: float, avoided: frozenset[str] = NO_WORKERS
    ) -> ReclaimOption | None:
        """Returns the cheapest option inside the unit where a block of the account is reserved."""
        options = [
            self._build_option(request, target, unit, now_s, avoided)
            for target in candidate_units(request, unit)
        ]
        feasible = [option for option in options if option is not None]
        return min(feasible, key=lambda option: option.cost, default=None)

    def preemption_cost(self, job: Job, now_s: float) -> float:
        """Returns the cost of stopping a job, in accelerator-seconds.

        The lost work is computed from the time since the placement, not from reported run times.
        """
        elapsed_s = CHECKPOINT_COST_S if job.request.checkpointable else now_s - job.placed_s
        # Earlier preemptions raise the cost, so that the same young job is not always chosen.
        cost = (
            PREEMPTION_COST * (1 + job.preemptions)
            + max(0.0, elapsed_s) * job.request.shape.accelerators
        )
        if job.unreachable:
            cost += UNREACHABLE_COST
        if job.request.urgent:
            cost += LENT_URGENT_COST
        return cost

    def _build_option(
        self,
        request: JobRequest,
        target: Unit,
        block_unit: Unit,
        now_s: float,
        avoided: frozenset[str],
    ) -> ReclaimOption | None:
        """Tries idle capacity, then capacity that is being released, then victims."""
        needed = request.shape.accelerators
        racks = self._candidate_racks(target, block_unit, needed)
        limits = {
            w.key: self._available_to_block(w, block_unit, needed) for _, ws in racks for w in ws
        }
        limits.update({worker_id: 0 for worker_id in avoided if worker_id in limits})
        available = {w.key: w.unclaimed for _, workers in racks for w in workers}
        if reachable_accelerators(racks, limits, available) >= needed:
            return ReclaimOption(allocate(racks, limits, available, needed), [], 0.0, True)
        for _, workers in racks:
            for worker in workers:
                available[worker.key] = self.expected_idle(worker)
        victims = self._choose_victims(racks, limits, available, needed, now_s)
        if victims is None:
            return None
        cost = WAIT_FOR_RELEASE_COST + sum(self.preemption_cost(job, now_s) for job in victims)
        return ReclaimOption(allocate(racks, limits, available, needed), victims, cost, False)

    def _choose_victims(
        self,
        racks: "list[tuple[int, list[Unit]]]",
        limits: dict[str, int],
        available: dict[str, int],
        needed: int,
        now_s: float,
    ) -> list[Job] | None:
        """Returns victims by cost per accelerator gained, without those not needed in the end.

        Returns None when all candidates together do not suffice. `available` is updated by the
        accelerators of the victims.
        """
        candidates = self._lent_jobs(racks)
        chosen: list[Job] = []
        reachable = reachable_accelerators(racks, limits, available)
        while reachable < needed:
            cheapest: tuple[float, int, Job] | None = None
            for job in candidates.values():
                gain = min(needed - reachable, accelerators_gained(limits, available, job))
                if gain > 0:
                    rank = (self.preemption_cost(job, now_s) / gain, job.sequence, job)
                    cheapest = rank if cheapest is None or rank[:2] < cheapest[:2] else cheapest
            if cheapest is None:
                return None
            chosen.append(candidates.pop(cheapest[2].request.job_id))
            adjust_available(available, cheapest[2], 1)
            reachable = reachable_accelerators(racks, limits, available)
        for job in sorted(chosen, key=lambda job: -self.preemption_cost(job, now_s)):
            adjust_available(available, job, -1)
            if reachable_accelerators(racks, limits, available) >= needed:
                chosen.remove(job)
            else:
                adjust_available(available, job, 1)
        return chosen

    def _lent_jobs(self, racks: "list[tuple[int, list[Unit]]]") -> dict[str, Job]:
        jobs: dict[str, Job] = {}
        for _, workers in racks:
            for worker in workers:
                for job_id, job in self.state.jobs_by_worker.get(worker.key, {}).items():
                    if job.is_active and job_id not in self.plan.slot_by_job:
                        jobs[job_id] = job
        return jobs

    def expected_idle(self, worker: Unit) -> int:
        """Returns the accelerators idle or being released that no earlier reclaim has claimed."""
        if not worker.in_service:
            return 0
        releasing = 0
        for job in self.state.jobs_by_worker.get(worker.key, {}).values():
            if job.state is JobState.STOPPING and not job.unreachable and job.placement:
                shares = job.placement.shares
                releasing += sum(s.accelerators for s in shares if s.worker_id == worker.key)
        return worker.installed - worker.allocated + releasing - worker.claimed

    def _available_to_block(self, worker: Unit, block_unit: Unit, needed: int) -> int:
        """Returns the accelerators of the worker that other blocks do not reserve."""
        if worker is block_unit:
            return needed if worker.in_service else 0
        return max(0, worker.headroom)

    def _candidate_racks(
        self, target: Unit, block_unit: Unit, needed: int
    ) -> "list[tuple[int, list[Unit]]]":
        """Returns racks as pairs of the accelerators that other blocks leave and the workers."""
        if target.scope is Scope.WORKER:
            rack = target.enclosing(Scope.RACK)
            limited = block_unit.scope is Scope.DATA_CENTRE
            return [(max(0, rack.headroom) if limited else needed, [target])]
        if target is block_unit and target.scope is Scope.RACK:
            return [(needed, target.workers())]
        if target.scope is Scope.RACK:
            return [(max(0, target.headroom), target.workers())]
        chosen: list[tuple[int, list[Unit]]] = []
        reachable = 0
        by_idle = sorted(target.children.values(), key=lambda rack: (-rack.idle, rack.order))
        for rack in by_idle:
            if reachable >= needed and len(chosen) >= MAX_RACKS_PER_OPTION:
                break
            if rack.headroom > 0:
                chosen.append((rack.headroom, rack.workers()))
                reachable += rack.headroom
        return chosen


def candidate_units(request: JobRequest, unit: Unit) -> list[Unit]:
    """Returns the units inside `unit`, or `unit` itself, within which the job may be placed."""
    if request.shape.scope is Scope.WORKER:
        return unit.workers()
    if request.shape.scope is Scope.RACK and unit.scope is Scope.DATA_CENTRE:
        return list(unit.children.values())
    return [unit]


def reachable_accelerators(
    racks: "list[tuple[int, list[Unit]]]", limits: dict[str, int], available: dict[str, int]
) -> int:
    """Returns how many accelerators a job could use within the limits of workers and racks."""
    reachable = 0
    for rack_limit, workers in racks:
        usable = sum(max(0, min(limits[w.key], available[w.key])) for w in workers)
        reachable += min(rack_limit, usable)
    return reachable


def accelerators_gained(limits: dict[str, int], available: dict[str, int], job: Job) -> int:
    """Returns the accelerators that stopping a job adds, before the limits of the racks."""
    added = 0
    for share in job.placement.shares if job.placement is not None else ():
        current = available.get(share.worker_id)
        if current is not None:
            limit = limits[share.worker_id]
            added += max(0, min(limit, current + share.accelerators)) - max(0, min(limit, current))
    return added


def adjust_available(available: dict[str, int], job: Job, sign: int) -> None:
    """Adds the accelerators of a job to `available`, or with `sign` -1 subtracts them."""
    assert job.placement is not None
    for share in job.placement.shares:
        if share.worker_id in available:
            available[share.worker_id] += sign * share.accelerators


def allocate(
    racks: "list[tuple[int, list[Unit]]]",
    limits: dict[str, int],
    available: dict[str, int],
    needed: int,
) -> Placement:
    """Allocates on the least available workers first, so that wholly idle ones stay whole."""
    shares: list[WorkerShare] = []
    for rack_limit, workers in racks:
        rack_left = min(rack_limit, needed)
        for worker in sorted(workers, key=lambda w: (available[w.key], w.order)):
            taken = max(0, min(limits[worker.key], available[worker.key], rack_left))
            if taken > 0:
                shares.append(WorkerShare(worker.key, taken))
                rack_left -= taken
                needed -= taken
    return Placement(tuple(shares))
