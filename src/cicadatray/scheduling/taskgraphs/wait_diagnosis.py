"""Diagnosis of work that a placement round did not place."""

from collections.abc import Callable, Mapping, Sequence

from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.task_fit import (
    AvailableResources,
    fit_tasks,
    free_now,
    free_once_stopped,
    total_capacity,
)
from cicadatray.scheduling.taskgraphs.wait_reason import WaitReason
from cicadatray.scheduling.taskgraphs.waiting_work import WaitingWork
from cicadatray.scheduling.taskgraphs.worker_capacity import WorkerCapacity

LimitsOf = Callable[[WaitingWork, list[WorkerCapacity]], Mapping[str, int] | None]


class WaitDiagnosis:
    """Determines why work was not placed, from the state of the workers in the round.

    It changes nothing. `groups` are the sets of workers that the round has tried. `limits_of`
    returns how many more tasks of the step each worker may take.
    """

    __slots__ = ("groups", "limits_of", "work", "workers")

    def __init__(
        self,
        work: WaitingWork,
        workers: Sequence[WorkerCapacity],
        groups: Sequence[list[WorkerCapacity]],
        limits_of: LimitsOf,
    ) -> None:
        self.work = work
        self.workers = workers
        self.groups = groups
        self.limits_of = limits_of

    def explain(self) -> WaitReason:
        """Returns the first reason that applies, in the order of `WaitReason`."""
        step = self.work.step
        pool = [w for w in self.workers if w.pool == self.work.graph.graph.policy.pool]
        if not pool:
            return WaitReason.NO_WORKER_OF_POOL
        labelled = [w for w in pool if not step.required_label or step.required_label in w.labels]
        if not labelled:
            return WaitReason.NO_WORKER_WITH_LABEL
        if not self._fits_when_empty(labelled):
            return WaitReason.LARGER_THAN_WORKERS
        if self.work.is_suspect:
            return WaitReason.MUST_START_ALONE
        if any(self._fits(_unreserved(group), free_once_stopped) for group in self.groups):
            return WaitReason.ROOM_BEING_FREED
        if any(self._fits(group, free_now) for group in self.groups):
            return WaitReason.ROOM_KEPT
        return self._explain_untried(_unreserved(labelled))

    def _explain_untried(self, labelled: list[WorkerCapacity]) -> WaitReason:
        """Checks unreserved workers that the round did not try, or could not combine."""
        step = self.work.step
        not_suspect = [worker for worker in labelled if not worker.is_suspect]
        if self._fits(not_suspect, free_now):
            return WaitReason.DATA_RACK if step.data_rack else WaitReason.ONE_RACK
        if self._fits(labelled, free_now):
            return WaitReason.SUSPECT_WORKERS
        count = len(self.work.indexes)
        if step.max_per_worker and fit_tasks(labelled, step.demand, count, free_now) is not None:
            return WaitReason.WORKER_LIMIT
        total_free = Resources()
        for worker in labelled:
            total_free = total_free.plus(worker.free)
        is_enough = step.demand.fit_count(total_free) >= count
        return WaitReason.ROOM_SCATTERED if is_enough else WaitReason.NO_ROOM

    def _fits(self, workers: list[WorkerCapacity], available_of: AvailableResources) -> bool:
        limits = self.limits_of(self.work, workers)
        count = len(self.work.indexes)
        return fit_tasks(workers, self.work.step.demand, count, available_of, limits) is not None

    def _fits_when_empty(self, workers: list[WorkerCapacity]) -> bool:
        step, count = self.work.step, len(self.work.indexes)
        limits = {worker.worker_id: step.max_per_worker or count for worker in workers}
        return fit_tasks(workers, step.demand, count, total_capacity, limits) is not None


def _unreserved(workers: list[WorkerCapacity]) -> list[WorkerCapacity]:
    return [worker for worker in workers if not worker.is_reserved]
