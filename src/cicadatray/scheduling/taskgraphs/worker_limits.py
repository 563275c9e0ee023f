"""The limit of tasks of one step on each worker."""

from collections.abc import Mapping, Sequence

from cicadatray.scheduling.taskgraphs.waiting_work import WaitingWork
from cicadatray.scheduling.taskgraphs.worker_capacity import WorkerCapacity


def remaining_limits(
    work: WaitingWork, group: Sequence[WorkerCapacity], assigned: Mapping[str, int]
) -> dict[str, int] | None:
    """Returns how many more tasks of the step each worker may take, or None without a limit.

    `assigned` counts the tasks of the step that the current round has assigned to each worker.
    """
    limit = work.step.max_per_worker
    if not limit:
        return None
    running = work.graph.runs_by_worker(work.occurrence, work.step_number)
    return {
        worker.worker_id: limit
        - running.get(worker.worker_id, 0)
        - assigned.get(worker.worker_id, 0)
        for worker in group
    }
