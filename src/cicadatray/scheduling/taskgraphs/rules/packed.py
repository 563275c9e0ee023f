"""Candidates that keep racks and workers free for gangs."""

from collections.abc import Hashable

from cicadatray.scheduling.taskgraphs.rules.candidate_rule import CandidateRule, candidate_rules
from cicadatray.scheduling.taskgraphs.task_fit import fit_tasks, total_capacity
from cicadatray.scheduling.taskgraphs.waiting_work import WaitingWork
from cicadatray.scheduling.taskgraphs.worker_capacity import WorkerCapacity

# Work outside its rack takes this many times as long, because of the platform's network.
REMOTE_SLOWDOWN = 3.0


@candidate_rules.register("packed")
class PackedCandidates(CandidateRule):
    """Fills one rack after the other with single tasks, and keeps rack-local gangs in a rack."""

    __slots__ = ()

    def groups(self, work: WaitingWork, usable: list[WorkerCapacity]) -> list[list[WorkerCapacity]]:
        """Returns the sets of workers that may take the work, the preferred set first."""
        step = work.step
        can_wait = self._can_wait(work)
        if step.data_rack:
            in_data_rack = [worker for worker in usable if worker.rack == step.data_rack]
            is_possible = self._fits_when_empty(work, in_data_rack)
            return [in_data_rack] if can_wait and is_possible else [in_data_rack, usable]
        if step.is_gang and step.is_rack_local and len(work.indexes) > 1:
            racks = self._racks(usable)
            possible = [rack for rack in racks if self._fits_when_empty(work, rack)]
            return possible if can_wait and possible else [*possible, usable]
        if step.is_gang:
            return [usable]
        # Single tasks fill one rack after the other, so that other racks stay free for gangs.
        return [*self._racks(usable), usable]

    def shape(self, work: WaitingWork) -> Hashable | None:
        """Returns the demand and the place of the work, None with a limit of its own step."""
        step = work.step
        if step.max_per_worker:
            return None
        is_in_one_rack = step.is_gang and step.is_rack_local
        return (
            work.graph.graph.policy.pool,
            step.required_label,
            step.demand,
            step.is_gang,
            len(work.indexes),
            step.data_rack,
            is_in_one_rack,
            (step.data_rack or is_in_one_rack) and self._can_wait(work),
        )

    def _can_wait(self, work: WaitingWork) -> bool:
        """Returns whether the work may still wait for the rack on which it is fast."""
        return self.view.now_s < work.ready_s + work.step.estimate_s * (REMOTE_SLOWDOWN - 1)

    def _racks(self, workers: list[WorkerCapacity]) -> list[list[WorkerCapacity]]:
        """Returns the workers by rack, the rack with the fewest free accelerators first."""
        racks: dict[str, list[WorkerCapacity]] = {}
        for worker in workers:
            racks.setdefault(worker.rack, []).append(worker)
        return sorted(racks.values(), key=lambda rack: sum(w.free.accelerators for w in rack))

    def _fits_when_empty(self, work: WaitingWork, group: list[WorkerCapacity]) -> bool:
        count = len(work.indexes)
        limits = {w.worker_id: work.step.max_per_worker or count for w in group}
        return fit_tasks(group, work.step.demand, count, total_capacity, limits) is not None
