"""Binds running gangs to guaranteed blocks after a change of the leader."""

from cicadatray.scheduling.guarantee_plan import GuaranteePlan, is_protected
from cicadatray.scheduling.guarantee_slot import GuaranteeSlot
from cicadatray.scheduling.job import Job
from cicadatray.scheduling.placement import Placement
from cicadatray.scheduling.unit import Unit

SavedSlot = tuple[GuaranteeSlot, Unit | None, dict[str, Placement]]


def bind_by_moving(plan: GuaranteePlan, job: Job, jobs: dict[str, Job]) -> bool:
    """Binds an urgent job to a block of its account, moving the block to the job's unit if needed.

    The plan of a new leader may reserve blocks at other units than its predecessor did. Blocks
    without urgent jobs are moved away from the job's workers. Returns False, and leaves the job on
    lent capacity, when another block would become unplaced or another urgent job unbound.
    """
    if plan.bind_if_inside(job):
        return True
    saved: list[SavedSlot] = [(slot, slot.unit, dict(slot.bound)) for slot in plan.slots.values()]
    protected = [job_id for job_id in plan.slot_by_job if is_protected(jobs, job_id)]
    slots = plan.by_account.get(job.request.client_account, [])
    for slot in sorted(slots, key=lambda slot: len(slot.bound) > 0):
        if not _force_binding(plan, slot, job, jobs):
            continue
        plan.repair(jobs)
        all_bound = all(job_id in plan.slot_by_job for job_id in [*protected, job.request.job_id])
        if all_bound and len(plan.unplaced) <= sum(unit is None for _, unit, _ in saved):
            _rebind_displaced(plan, saved, jobs)
            return True
        _restore_plan(plan, saved)
    return False


def _force_binding(
    plan: GuaranteePlan, slot: GuaranteeSlot, job: Job, jobs: dict[str, Job]
) -> bool:
    """Binds the job to the block even if that overcommits units until the next repair."""
    assert job.placement is not None
    unit = _common_unit(plan, job.placement, slot)
    ordinary = [job_id for job_id in slot.bound if not is_protected(jobs, job_id)]
    unbindable = sum(
        share.accelerators for job_id in ordinary for share in slot.bound[job_id].shares
    )
    if unit is None or slot.free_accelerators + unbindable < job.request.shape.accelerators:
        return False
    if slot.unit is not unit and len(slot.bound) > len(ordinary):
        return False
    for job_id in ordinary:
        plan.unbind(job_id)
    if slot.unit is not unit:
        plan.evict(slot)
        plan.search.attach(slot, unit)
        del plan.unplaced[slot.key]
    plan.bind(slot, job.request.job_id, job.placement)
    plan.stale = True
    return True


def _rebind_displaced(plan: GuaranteePlan, saved: list[SavedSlot], jobs: dict[str, Job]) -> None:
    """Binds displaced ordinary jobs again where they still run inside a block."""
    for _, _, bound in saved:
        for job_id in bound:
            if job_id not in plan.slot_by_job and jobs[job_id].placement is not None:
                plan.bind_if_inside(jobs[job_id])


def _restore_plan(plan: GuaranteePlan, saved: list[SavedSlot]) -> None:
    """Restores all blocks and bindings, since a repair may have moved or unbound any of them."""
    for slot, _, _ in saved:
        plan.evict(slot)
    for slot, unit, bound in saved:
        if unit is not None:
            plan.search.attach(slot, unit)
            del plan.unplaced[slot.key]
        for job_id, placement in bound.items():
            plan.bind(slot, job_id, placement)


def _common_unit(plan: GuaranteePlan, placement: Placement, slot: GuaranteeSlot) -> Unit | None:
    """Returns the unit of the block's scope that contains the whole placement, or None."""
    shares = plan.fleet.worker_shares(placement)
    units = {w.enclosing(slot.shape.scope).key: w.enclosing(slot.shape.scope) for w, _ in shares}
    is_contained = len(units) == 1 and len(shares) == len(placement.shares)
    return next(iter(units.values())) if is_contained else None
