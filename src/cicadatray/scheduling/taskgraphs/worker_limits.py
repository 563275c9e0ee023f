"""The limit of tasks of one step on each worker."""

from collections.abc import Sequence

from cicadatray.scheduling.taskgraphs.assignment import Assignment
from cicadatray.scheduling.taskgraphs.waiting_work import WaitingWork
from cicadatray.scheduling.taskgraphs.worker_capacity import WorkerCapacity


def remaining_limits(
    work: WaitingWork, group: Sequence[WorkerCapacity], assignments: Sequence[Assignment]
) -> dict[str, int] | None:
    """Returns how many more tasks of the step each worker may take, or None without a limit.

    `assignments` are those of the current round.
    """
    step = work.step
    if not step.max_per_worker:
        return None
    limits = {worker.worker_id: step.max_per_worker for worker in group}
    for index in range(step.count):
        progress = work.graph.task(work.occurrence, work.step_number, index)
        if progress is not None and progress.worker_id in limits:
            limits[progress.worker_id] -= 1
    for assignment in assignments:
        task = assignment.run.task
        is_same_step = (task.graph_id, task.occurrence, task.step) == (
            work.graph.graph.graph_id,
            work.occurrence,
            work.step_number,
        )
        if is_same_step and assignment.worker_id in limits:
            limits[assignment.worker_id] -= 1
    return limits
