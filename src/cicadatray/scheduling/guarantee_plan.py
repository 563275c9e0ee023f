"""The reservation plan: the unit where each guaranteed block is reserved."""

from cicadatray.scheduling.fleet import Fleet
from cicadatray.scheduling.guarantee_clash import make_slots
from cicadatray.scheduling.guarantee_slot import GuaranteeSlot
from cicadatray.scheduling.job import Job, JobState
from cicadatray.scheduling.placement import Placement
from cicadatray.scheduling.rules import Guarantee
from cicadatray.scheduling.shape import Scope, Shape
from cicadatray.scheduling.slot_search import SlotSearch, search_order
from cicadatray.scheduling.unit import Unit


class GuaranteePlan:
    """Assigns every guaranteed block to a unit and binds jobs to the blocks they run in.

    `Unit.reserved_for_guarantees` is the sum of the blocks reserved at a unit or below it; a bound
    job's accelerators count at their workers and the rest of its block at the block's unit. The
    plan is valid while no unit has more reserved than its capacity: docs/decisions-scheduling.md
    shows that all blocks can then be placed together. Events only mark the plan as stale; `repair`
    makes it valid once for all of them, so that the loss of a data centre is not repaired worker by
    worker. `unplaced` holds the blocks without a unit. `version` rises whenever a claim that was
    refused before might succeed.
    """

    __slots__ = (
        "by_account",
        "by_shape",
        "fleet",
        "search",
        "slot_by_job",
        "slots",
        "stale",
        "unplaced",
        "version",
    )

    def __init__(self, fleet: Fleet, guarantees: tuple[Guarantee, ...]) -> None:
        self.fleet = fleet
        self.search = SlotSearch(fleet)
        self.slots: dict[tuple[str, Shape, int], GuaranteeSlot] = {}
        self.by_account: dict[str, list[GuaranteeSlot]] = {}
        self.by_shape: dict[Shape, list[GuaranteeSlot]] = {}
        self.slot_by_job: dict[str, GuaranteeSlot] = {}
        self.unplaced: dict[tuple[str, Shape, int], GuaranteeSlot] = {}
        self.stale = True
        self.version = 0
        self.replace_guarantees(guarantees)

    @property
    def at_risk(self) -> list[GuaranteeSlot]:
        """Returns the blocks that cannot be placed together with the others."""
        return list(self.unplaced.values())

    def replace_guarantees(self, guarantees: tuple[Guarantee, ...]) -> None:
        """Replaces the guarantees; unchanged blocks keep their units and bound jobs."""
        new_slots = {slot.key: slot for slot in make_slots(guarantees)}
        for key in [key for key in self.slots if key not in new_slots]:
            self.evict(self.slots.pop(key))
            del self.unplaced[key]
        for key, slot in new_slots.items():
            if key not in self.slots:
                self.slots[key] = slot
                self.unplaced[key] = slot
        self.by_account = {}
        self.by_shape = {}
        for slot in self.slots.values():
            self.by_account.setdefault(slot.client_account, []).append(slot)
            self.by_shape.setdefault(slot.shape, []).append(slot)
        self._mark_stale()

    def inventory_changed(self) -> None:
        """Recomputes all reservations; blocks whose unit no longer exists become unplaced."""
        for scope in Scope:
            for unit in self.fleet.units(scope):
                unit.reserved_for_guarantees = 0
        self.search = SlotSearch(self.fleet)
        for slot in self.slots.values():
            if slot.unit is None:
                continue
            if self._is_current(slot):
                self.search.attach(slot, slot.unit)
                for placement in slot.bound.values():
                    self._shift_reservation(slot, placement, 1)
            else:
                self._lose_unit(slot)
        self._mark_stale()

    def capacity_changed(self, worker: Unit) -> None:
        """Updates the plan after a worker went out of service or returned."""
        for unit in worker.with_ancestors():
            self.search.index.update(unit)
        overcommitted = any(unit.headroom < 0 for unit in worker.with_ancestors())
        self.version += 1
        self.stale = self.stale or overcommitted or bool(self.unplaced)

    def can_bind(self, slot: GuaranteeSlot, placement: Placement) -> bool:
        """Returns whether a job at this placement can be bound to the block."""
        needed = sum(share.accelerators for share in placement.shares)
        if slot.unit is None or slot.free_accelerators < needed:
            return False
        needed_by_unit: dict[str, tuple[Unit, int]] = {}
        shares = self.fleet.worker_shares(placement)
        for worker, accelerators in shares:
            path = worker.with_ancestors()
            if slot.unit not in path:
                return False
            for unit in path[: path.index(slot.unit)]:
                needed_by_unit[unit.key] = (
                    unit,
                    needed_by_unit.get(unit.key, (unit, 0))[1] + accelerators,
                )
        enough = all(unit.headroom >= amount for unit, amount in needed_by_unit.values())
        return enough and len(shares) == len(placement.shares)

    def bind(self, slot: GuaranteeSlot, job_id: str, placement: Placement) -> None:
        """Binds a job to the block, whose reservation moves to the workers of the placement."""
        slot.bound[job_id] = placement
        self.slot_by_job[job_id] = slot
        self._shift_reservation(slot, placement, 1)

    def unbind(self, job_id: str) -> None:
        """Ends the binding of a job to its block; a job without a block is ignored."""
        slot = self.slot_by_job.pop(job_id, None)
        if slot is None:
            return
        self._shift_reservation(slot, slot.bound.pop(job_id), -1)
        self.version += 1
        self.stale = self.stale or bool(self.unplaced)

    def bind_if_inside(self, job: Job) -> bool:
        """Binds a placed job to a block of its account that contains its placement, if any."""
        assert job.placement is not None
        for slot in self.by_account.get(job.request.client_account, ()):
            if self.can_bind(slot, job.placement):
                self.bind(slot, job.request.job_id, job.placement)
                return True
        return False

    def move(self, slot: GuaranteeSlot, unit: Unit) -> None:
        """Moves a block without bound jobs to another unit with enough headroom."""
        self.search.detach(slot)
        self.search.attach(slot, unit)

    def swap(self, slot: GuaranteeSlot, other: GuaranteeSlot) -> None:
        """Exchanges the units of two blocks of equal shape without bound jobs."""
        slot.unit, other.unit = other.unit, slot.unit

    def evict(self, slot: GuaranteeSlot) -> None:
        """Removes a block from its unit; its bound jobs then run on lent capacity."""
        for job_id in list(slot.bound):
            self.unbind(job_id)
        if slot.unit is not None:
            self.search.detach(slot)
            self.unplaced[slot.key] = slot
        self._mark_stale()

    def repair(self, jobs: dict[str, Job]) -> None:
        """Makes the plan valid and places unplaced blocks, those already reported at risk first."""
        if not self.stale:
            return
        self.stale = False
        for urgent_too in (False, True):
            for slot in self._eviction_order(jobs, urgent_too):
                if self._is_overcommitted(slot):
                    self.evict(slot)
        ordered = sorted(self.at_risk, key=lambda slot: (not slot.was_at_risk, search_order(slot)))
        for slot in ordered:
            if not self._insert(slot):
                self._insert_by_unbinding(slot, jobs)
            slot.was_at_risk = slot.unit is None
        self.stale = False

    def _insert(self, slot: GuaranteeSlot) -> bool:
        movable = [other for other in self.slots.values() if other.unit and not other.bound]
        inserted = self.search.insert(slot, movable)
        if inserted:
            del self.unplaced[slot.key]
        return inserted

    def _insert_by_unbinding(self, slot: GuaranteeSlot, jobs: dict[str, Job]) -> None:
        """Places a block after unbinding unprotected jobs, which are bound again where possible."""
        unbound = [job_id for job_id in self.slot_by_job if not is_protected(jobs, job_id)]
        if not unbound:
            return
        former_bindings = [(job_id, self.slot_by_job[job_id]) for job_id in unbound]
        for job_id in unbound:
            self.unbind(job_id)
        inserted = self._insert(slot)
        for job_id, slot_before in former_bindings:
            placement = jobs[job_id].placement if job_id in jobs else None
            if placement is None:
                continue
            if inserted:
                self.bind_if_inside(jobs[job_id])
            elif self.can_bind(slot_before, placement):
                self.bind(slot_before, job_id, placement)

    def _eviction_order(self, jobs: dict[str, Job], urgent_too: bool) -> list[GuaranteeSlot]:
        """Returns placed blocks in the order in which they are evicted from overcommitted units."""
        placed = [slot for slot in self.slots.values() if slot.unit is not None]
        if not urgent_too:
            placed = [
                slot
                for slot in placed
                if not any(is_protected(jobs, job_id) for job_id in slot.bound)
            ]
        return sorted(placed, key=lambda slot: (len(slot.bound) > 0, -slot.shape.accelerators))

    def _is_overcommitted(self, slot: GuaranteeSlot) -> bool:
        assert slot.unit is not None
        if any(unit.headroom < 0 for unit in slot.unit.with_ancestors()):
            return True
        for placement in slot.bound.values():
            for worker, _ in self.fleet.worker_shares(placement):
                if any(unit.headroom < 0 for unit in worker.with_ancestors()):
                    return True
        return False

    def _is_current(self, slot: GuaranteeSlot) -> bool:
        assert slot.unit is not None
        units = {unit.key: unit for unit in self.fleet.units(slot.shape.scope)}
        if units.get(slot.unit.key) is not slot.unit:
            return False
        placements = slot.bound.values()
        workers = [
            worker for placement in placements for worker, _ in self.fleet.worker_shares(placement)
        ]
        return all(slot.unit in worker.with_ancestors() for worker in workers)

    def _shift_reservation(self, slot: GuaranteeSlot, placement: Placement, sign: int) -> None:
        """Moves the reservation of a bound job from the block's unit to its workers, or back."""
        assert slot.unit is not None
        for worker, accelerators in self.fleet.worker_shares(placement):
            for unit in worker.with_ancestors():
                if unit is slot.unit:
                    break
                unit.reserved_for_guarantees += sign * accelerators
                self.search.index.update(unit)

    def _lose_unit(self, slot: GuaranteeSlot) -> None:
        """Marks a block as unplaced whose unit is gone together with its reservation."""
        for job_id in slot.bound:
            del self.slot_by_job[job_id]
        slot.bound.clear()
        slot.unit = None
        self.unplaced[slot.key] = slot

    def _mark_stale(self) -> None:
        self.stale = True
        self.version += 1


def is_protected(jobs: dict[str, Job], job_id: str) -> bool:
    """Returns whether a bound job keeps its block even when another block cannot be placed.

    Ordinary jobs do not claim the guarantee, and a claim whose gang has not been placed yet can be
    repeated elsewhere.
    """
    job = jobs.get(job_id)
    return job is not None and job.request.urgent and job.state is not JobState.RECLAIMING
