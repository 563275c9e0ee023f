"""The search for the earliest time at which work fits."""

from collections.abc import Iterable, Mapping, Sequence

from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.running_work import RunningWork
from cicadatray.scheduling.taskgraphs.task_fit import FillOrder, fit_tasks
from cicadatray.scheduling.taskgraphs.worker_capacity import WorkerCapacity


class EarliestFit:
    """The earliest fit of equal tasks on a group of workers after running work has ended.

    `remaining_s` is the expected time until then, in seconds; `workers` has one worker for each
    task.
    """

    __slots__ = ("remaining_s", "workers")

    def __init__(self, remaining_s: float, workers: list[WorkerCapacity]) -> None:
        self.remaining_s = remaining_s
        self.workers = workers


def find_earliest_fit(
    group: Sequence[WorkerCapacity],
    demand: Resources,
    count: int,
    running_by_end: Iterable[RunningWork],
    limits: Mapping[str, int] | None,
    must_be_idle: bool = False,
    fill_order: FillOrder | None = None,
) -> EarliestFit | None:
    """Returns the earliest fit, or None if the tasks never fit.

    `running_by_end` holds the running work in the order of its ends. `limits` gives the maximum
    number of tasks for each worker. With `must_be_idle` only workers count on which all running
    work has ended. The number of tasks that fit is kept up to date with each end, so that workers
    are chosen only once.
    """
    available = {worker.worker_id: worker.free_after_stops for worker in group}
    capacities = {worker.worker_id: worker.capacity for worker in group}

    def count_fitting(worker_id: str) -> int:
        is_usable = not must_be_idle or available[worker_id] == capacities[worker_id]
        fitting = demand.fit_count(available[worker_id]) if is_usable else 0
        return fitting if limits is None else min(fitting, limits.get(worker_id, 0))

    fitting = {worker_id: count_fitting(worker_id) for worker_id in available}
    total = sum(fitting.values())
    for running in running_by_end:
        is_in_group = False
        for worker_id, occupied in running.occupied:
            if worker_id in available:
                is_in_group = True
                available[worker_id] = available[worker_id].plus(occupied)
                total -= fitting[worker_id]
                fitting[worker_id] = count_fitting(worker_id)
                total += fitting[worker_id]
        if not is_in_group or total < count:
            continue
        workers = fit_tasks(
            group, demand, count, lambda w: available[w.worker_id], fitting, fill_order
        )
        if workers is not None:
            return EarliestFit(running.remaining_s(), workers)
    return None
