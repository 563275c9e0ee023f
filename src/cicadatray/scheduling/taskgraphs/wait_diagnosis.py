"""Finds out why work was not placed."""

from collections.abc import Callable, Mapping, Sequence

from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.task_fit import (
    RoomOf,
    fit_tasks,
    present_room,
    soon_room,
    total_room,
)
from cicadatray.scheduling.taskgraphs.wait_reason import WaitReason
from cicadatray.scheduling.taskgraphs.waiting_work import WaitingWork
from cicadatray.scheduling.taskgraphs.worker_room import WorkerCapacity

LimitsOf = Callable[[WaitingWork, list[WorkerCapacity]], Mapping[str, int] | None]


class WaitDiagnosis:
    """Pure: looks at the workers as the round has left them, and changes nothing.

    `groups` are the sets of workers that the round has tried, `limits_of` says how many more tasks
    of the step each worker may take.
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
        """Returns the first reason that applies."""
        step = self.work.step
        pool = [w for w in self.workers if w.pool == self.work.graph.graph.policy.pool]
        if not pool:
            return WaitReason.NO_WORKER_OF_POOL
        labelled = [w for w in pool if not step.required_label or step.required_label in w.labels]
        if not labelled:
            return WaitReason.NO_WORKER_WITH_LABEL
        if not self._fits_when_empty(labelled):
            return WaitReason.LARGER_THAN_WORKERS
        if any(self._fits(_open(group), soon_room) for group in self.groups):
            return WaitReason.ROOM_BEING_FREED
        if any(self._fits(group, present_room) for group in self.groups):
            return WaitReason.ROOM_KEPT
        return self._explain_elsewhere(_open(labelled))

    def _explain_elsewhere(self, labelled: list[WorkerCapacity]) -> WaitReason:
        """Looks at open workers that the round has left out, or could not use together."""
        step = self.work.step
        trusted = [worker for worker in labelled if not worker.is_suspect]
        if self._fits(trusted, present_room):
            return WaitReason.DATA_RACK if step.data_rack else WaitReason.ONE_RACK
        if self._fits(labelled, present_room):
            return WaitReason.SUSPECT_WORKERS
        count = len(self.work.indexes)
        if (
            step.max_per_worker
            and fit_tasks(labelled, step.demand, count, present_room) is not None
        ):
            return WaitReason.WORKER_LIMIT
        free = Resources()
        for worker in labelled:
            free = free.plus(worker.free)
        is_enough = step.demand.times_in(free) >= count
        return WaitReason.ROOM_SCATTERED if is_enough else WaitReason.NO_ROOM

    def _fits(self, workers: list[WorkerCapacity], room_of: RoomOf) -> bool:
        limits = self.limits_of(self.work, workers)
        count = len(self.work.indexes)
        return fit_tasks(workers, self.work.step.demand, count, room_of, limits) is not None

    def _fits_when_empty(self, workers: list[WorkerCapacity]) -> bool:
        step, count = self.work.step, len(self.work.indexes)
        limits = {worker.worker_id: step.max_per_worker or count for worker in workers}
        return fit_tasks(workers, step.demand, count, total_room, limits) is not None


def _open(workers: list[WorkerCapacity]) -> list[WorkerCapacity]:
    return [worker for worker in workers if not worker.is_closed]
