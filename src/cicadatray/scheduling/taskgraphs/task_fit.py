"""Fits equal tasks onto workers."""

from collections.abc import Callable, Mapping, Sequence

from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.worker_room import WorkerCapacity

RoomOf = Callable[[WorkerCapacity], Resources]


def present_room(worker: WorkerCapacity) -> Resources:
    """What is free now."""
    return worker.free


def soon_room(worker: WorkerCapacity) -> Resources:
    """What is free once the runs that are being stopped have ended."""
    return worker.free_after_stops


def total_room(worker: WorkerCapacity) -> Resources:
    """What an empty worker offers."""
    return worker.capacity


def fit_tasks(
    workers: Sequence[WorkerCapacity],
    needs: Resources,
    count: int,
    room_of: RoomOf,
    limits: Mapping[str, int] | None = None,
) -> list[WorkerCapacity] | None:
    """Returns one worker for each task, or None when not all fit.

    Fills the workers with the least room first, so that whole workers stay empty for large tasks.
    `limits` says how many of the tasks a worker may take at most.
    """
    chosen: list[WorkerCapacity] = []
    ordered = sorted(workers, key=lambda w: _tightness(room_of(w)))
    for worker in ordered:
        fitting = needs.times_in(room_of(worker))
        if limits is not None:
            fitting = min(fitting, limits.get(worker.worker_id, 0))
        chosen += [worker] * min(fitting, count - len(chosen))
        if len(chosen) == count:
            return chosen
    return None


def _tightness(room: Resources) -> tuple[int, int, int]:
    return (room.accelerators, room.memory_mb, room.cpu_millis)
