"""Best-fit placement of equal tasks on workers."""

from collections.abc import Callable, Iterable, Mapping, Sequence

from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.worker_capacity import WorkerCapacity

AvailableResources = Callable[[WorkerCapacity], Resources]
# Returns the sort key of a worker with these available resources; the lowest is filled first.
FillOrder = Callable[[WorkerCapacity, Resources], tuple[float, ...]]


def free_now(worker: WorkerCapacity) -> Resources:
    """Returns the resources that are free now."""
    return worker.free


def free_once_stopped(worker: WorkerCapacity) -> Resources:
    """Returns the resources that are free once the runs being stopped have ended."""
    return worker.free_after_stops


def total_capacity(worker: WorkerCapacity) -> Resources:
    """Returns the resources of the worker when it is empty."""
    return worker.capacity


def fit_tasks(
    workers: Sequence[WorkerCapacity],
    demand: Resources,
    count: int,
    available_of: AvailableResources,
    limits: Mapping[str, int] | None = None,
    fill_order: FillOrder | None = None,
) -> list[WorkerCapacity] | None:
    """Returns one worker for each task, or None if not all tasks fit.

    Without `fill_order`, workers with the least available resources are filled first, so that whole
    workers stay empty for large tasks. `limits` gives the maximum number of tasks for each worker;
    a worker without an entry takes none.
    """
    fitting_by_worker: list[tuple[WorkerCapacity, int]] = []
    total = 0
    for worker in workers:
        fitting = demand.fit_count(available_of(worker))
        if limits is not None:
            fitting = min(fitting, limits.get(worker.worker_id, 0))
        if fitting > 0:
            fitting_by_worker.append((worker, fitting))
            total += fitting
    if total < count:
        return None
    order = fill_order or least_available_first
    fitting_by_worker.sort(key=lambda pair: order(pair[0], available_of(pair[0])))
    chosen: list[WorkerCapacity] = []
    for worker, fitting in fitting_by_worker:
        chosen += [worker] * min(fitting, count - len(chosen))
        if len(chosen) == count:
            break
    return chosen


def has_room(
    workers: Iterable[WorkerCapacity],
    demand: Resources,
    count: int,
    limits: Mapping[str, int] | None = None,
) -> bool:
    """Returns whether `fit_tasks` finds a worker for each task now, without choosing them."""
    total = 0
    for worker in workers:
        fitting = demand.fit_count(worker.free)
        if limits is not None:
            fitting = min(fitting, limits.get(worker.worker_id, 0))
        total += max(0, fitting)
        if total >= count:
            return True
    return False


def least_available_first(worker: WorkerCapacity, available: Resources) -> tuple[float, ...]:
    """Returns the sort key that fills the workers with the least available resources first."""
    return (available.accelerators, available.memory_mb, available.cpu_millis)


def by_run_count(worker: WorkerCapacity, available: Resources) -> tuple[float, ...]:
    """Returns the sort key that fills the workers with the fewest runs first."""
    return (worker.run_count, *least_available_first(worker, available))


def unreserved_first(worker: WorkerCapacity, available: Resources) -> tuple[float, ...]:
    """Returns the sort key that fills suspect workers last, but reserved ones after them."""
    return (worker.is_reserved, worker.is_suspect, *least_available_first(worker, available))
