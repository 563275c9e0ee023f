"""Reclaims guaranteed capacity for urgent jobs."""

from cicadatray.scheduling.decision import Decision, PlaceJob, ReclaimJob
from cicadatray.scheduling.guarantee_plan import GuaranteePlan
from cicadatray.scheduling.guarantee_slot import GuaranteeSlot
from cicadatray.scheduling.job import Job, JobState
from cicadatray.scheduling.job_request import JobRequest
from cicadatray.scheduling.reclaim_option import ReclaimOption
from cicadatray.scheduling.reclaim_search import ReclaimSearch
from cicadatray.scheduling.scheduling_state import SchedulingState
from cicadatray.scheduling.shape import Shape
from cicadatray.scheduling.unit import Unit
from cicadatray.scheduling.waiting_queue import WaitingQueue

# Units and blocks that are considered instead of a block's own unit when jobs would have to stop
# there.
MAX_ALTERNATIVES = 4


class UrgentClaims:
    """Tracks urgent jobs that wait, and those whose victims are being stopped.

    A claim binds the job to a block of its account and marks its accelerators as claimed before the
    victims are stopped, so two claims never wait for capacity that the other holds.
    `refused_versions` contains the version of the plan in which no block had capacity for an
    account and shape.
    """

    __slots__ = ("plan", "queue", "reclaiming", "refused_versions", "search", "state", "waiting")

    def __init__(self, state: SchedulingState, plan: GuaranteePlan, queue: WaitingQueue) -> None:
        self.state = state
        self.plan = plan
        self.queue = queue
        self.search = ReclaimSearch(state, plan)
        self.waiting: dict[str, Job] = {}
        self.reclaiming: dict[str, Job] = {}
        self.refused_versions: dict[tuple[str, Shape], int] = {}

    def decide(self, now_s: float) -> list[Decision]:
        """Places claims whose capacity has become idle and starts new claims."""
        decisions: list[Decision] = []
        for job in list(self.reclaiming.values()):
            self._advance_reclaim(job, now_s, decisions)
        for job in sorted(self.waiting.values(), key=lambda job: job.sequence):
            key = (job.request.client_account, job.request.shape)
            if job.retry_not_before_s > now_s:
                continue
            if self.refused_versions.get(key) == self.plan.version:
                continue
            slot = self._find_slot(job.request)
            if slot is None:
                self.refused_versions[key] = self.plan.version
            else:
                self._start_claim(job, slot, now_s, decisions)
        return decisions

    def withdraw(self, job: Job) -> None:
        """Withdraws the claim of a job, whose accelerators are then no longer claimed."""
        self.waiting.pop(job.request.job_id, None)
        if self.reclaiming.pop(job.request.job_id, None) is None:
            return
        assert job.placement is not None
        self.state.fleet.claim(job.placement, -1)
        job.placement = None
        self.plan.unbind(job.request.job_id)

    def would_displace(self, job: Job, now_s: float) -> list[Job]:
        """Returns the jobs that a reclaim for this job would stop now, even if it is not urgent."""
        for slot in self.plan.by_account.get(job.request.client_account, ()):
            if slot.unit is None or slot.free_accelerators < job.request.shape.accelerators:
                continue
            option = self.search.cheapest_option(job.request, slot.unit, now_s)
            if option is not None:
                return option.victims
        return []

    def _advance_reclaim(self, job: Job, now_s: float, decisions: list[Decision]) -> None:
        assert job.placement is not None
        shares = self.state.fleet.worker_shares(job.placement)
        if all(worker.unallocated >= amount for worker, amount in shares):
            self._place_claim(job, now_s, decisions)
        elif job.request.job_id not in self.plan.slot_by_job or self._has_lost_capacity(job):
            self.withdraw(job)
            job.state = JobState.WAITING
            self.state.waiting[job.request.job_id] = job
            self.waiting[job.request.job_id] = job
            self.queue.add(job)

    def _has_lost_capacity(self, job: Job) -> bool:
        """Returns whether a loss has taken away capacity that the claim needs."""
        assert job.placement is not None
        shares = self.state.fleet.worker_shares(job.placement)
        return any(self.search.expected_idle(worker) < 0 for worker, _ in shares)

    def _place_claim(self, job: Job, now_s: float, decisions: list[Decision]) -> None:
        assert job.placement is not None
        placement = job.placement
        del self.reclaiming[job.request.job_id]
        self.state.fleet.claim(placement, -1)
        self.state.place(job, placement, now_s)
        decisions.append(PlaceJob(job.request.job_id, placement))

    def _start_claim(
        self, job: Job, slot: GuaranteeSlot, now_s: float, decisions: list[Decision]
    ) -> None:
        assert slot.unit is not None
        avoided = frozenset(job.failed_workers)
        option = self.search.cheapest_option(job.request, slot.unit, now_s, avoided)
        if not slot.bound and (option is None or option.cost > 0):
            option = self._cheapest_elsewhere(job, slot, option, now_s)
        if option is None and avoided:
            option = self.search.cheapest_option(job.request, slot.unit, now_s)
        if option is None:
            return
        del self.waiting[job.request.job_id]
        self.queue.remove(job)
        self.plan.bind(slot, job.request.job_id, option.placement)
        if option.is_ready:
            self.state.place(job, option.placement, now_s)
            decisions.append(PlaceJob(job.request.job_id, option.placement))
        else:
            self._reclaim(job, option, decisions)

    def _reclaim(self, job: Job, option: ReclaimOption, decisions: list[Decision]) -> None:
        job.state = JobState.RECLAIMING
        job.placement = option.placement
        self.state.waiting.pop(job.request.job_id, None)
        self.reclaiming[job.request.job_id] = job
        self.state.fleet.claim(option.placement, 1)
        for victim in option.victims:
            victim.state = JobState.STOPPING
            decisions.append(ReclaimJob(victim.request.job_id, job.request.job_id))

    def _find_slot(self, request: JobRequest) -> GuaranteeSlot | None:
        """Returns a block of the account with enough free accelerators, or None.

        Of several blocks the one with the fewest free accelerators is used, so that large ones stay
        whole. If there is none, ordinary jobs of the account are unbound from a block.
        """
        needed = request.shape.accelerators
        slots = [slot for slot in self.plan.by_account.get(request.client_account, ()) if slot.unit]
        slots = [slot for slot in slots if can_hold(slot, request.shape)]
        sufficient = [slot for slot in slots if slot.free_accelerators >= needed]
        if sufficient:
            return min(sufficient, key=lambda slot: slot.free_accelerators)
        for slot in slots:
            jobs = self.state.jobs
            ordinary = [job_id for job_id in slot.bound if not jobs[job_id].request.urgent]
            unbindable = sum(
                share.accelerators for job_id in ordinary for share in slot.bound[job_id].shares
            )
            if slot.free_accelerators + unbindable >= needed:
                for job_id in ordinary:
                    self.plan.unbind(job_id)
                return slot
        return None

    def _cheapest_elsewhere(
        self,
        job: Job,
        slot: GuaranteeSlot,
        cheapest: ReclaimOption | None,
        now_s: float,
    ) -> ReclaimOption | None:
        """Moves the block to another unit where a reclaim costs less; returns the option there."""
        new_place: Unit | GuaranteeSlot | None = None
        avoided = frozenset(job.failed_workers)
        places: list[Unit | GuaranteeSlot] = [*self._alternative_units(slot)]
        places.extend(self._exchangeable_slots(slot))
        for place in places:
            unit = place if isinstance(place, Unit) else place.unit
            if unit is None:
                continue
            option = self.search.cheapest_option(job.request, unit, now_s, avoided)
            if option is not None and (cheapest is None or option.cost < cheapest.cost):
                cheapest = option
                new_place = place
                if option.cost == 0:
                    break
        if isinstance(new_place, Unit):
            self.plan.move(slot, new_place)
        elif new_place is not None:
            self.plan.swap(slot, new_place)
        return cheapest

    def _alternative_units(self, slot: GuaranteeSlot) -> list[Unit]:
        """Returns other units with headroom for the block, those with the most idle first."""
        current_unit = slot.unit
        assert current_unit is not None
        self.plan.search.detach(slot)
        units: list[Unit] = []
        for unit in self.plan.search.index.tightest_first(
            slot.shape.scope, slot.shape.accelerators
        ):
            if unit is not current_unit:
                units.append(unit)
            if len(units) >= 4 * MAX_ALTERNATIVES:
                break
        self.plan.search.attach(slot, current_unit)
        return sorted(units, key=lambda unit: (-unit.idle, unit.order))[:MAX_ALTERNATIVES]

    def _exchangeable_slots(self, slot: GuaranteeSlot) -> list[GuaranteeSlot]:
        others = self.plan.by_shape[slot.shape]
        unbound = [
            other for other in others if other.unit and not other.bound and other is not slot
        ]
        ordered = sorted(unbound, key=lambda other: -other.unit.idle if other.unit else 0)
        return ordered[:MAX_ALTERNATIVES]


def can_hold(slot: GuaranteeSlot, shape: Shape) -> bool:
    """Returns whether the block is large enough for a job of this shape.

    The scope of the job may be narrower than that of the block. Such a job is inside the guarantee
    only if a single worker, or rack, of the block's unit happens to suffice, because a block that
    spans several workers need not contain a worker of that size.
    """
    return slot.shape.accelerators >= shape.accelerators
