"""Which running work gives way to urgent work."""

from collections.abc import Mapping, Sequence

from cicadatray.scheduling.taskgraphs.running_work import RunningWork
from cicadatray.scheduling.taskgraphs.task_fit import fit_tasks
from cicadatray.scheduling.taskgraphs.waiting_work import WaitingWork
from cicadatray.scheduling.taskgraphs.worker_room import WorkerRoom

Found = tuple[float, list[RunningWork], list[WorkerRoom]]


def find_displaced(
    work: WaitingWork,
    group: Sequence[WorkerRoom],
    candidates: Sequence[RunningWork],
    limits: Mapping[str, int] | None,
) -> Found | None:
    """Returns the loss, the work to stop and the workers that then fit, or None.

    Takes the cheapest work first until everything fits, then gives back what turned out not to be
    needed, the dearest first.
    """
    names = {worker.worker_id for worker in group}
    touching = [c for c in candidates if any(name in names for name, _ in c.rooms)]
    touching.sort(key=RunningWork.loss)
    victims: list[RunningWork] = []
    chosen: list[WorkerRoom] | None = None
    for candidate in touching:
        victims.append(candidate)
        chosen = _fit_without(work, group, victims, limits)
        if chosen is not None:
            break
    if chosen is None:
        return None
    for victim in sorted(victims, key=RunningWork.loss, reverse=True):
        rest = [other for other in victims if other is not victim]
        fitting = _fit_without(work, group, rest, limits)
        if fitting is not None:
            victims, chosen = rest, fitting
    return sum(victim.loss() for victim in victims), victims, chosen


def _fit_without(
    work: WaitingWork,
    group: Sequence[WorkerRoom],
    victims: Sequence[RunningWork],
    limits: Mapping[str, int] | None,
) -> list[WorkerRoom] | None:
    released = {worker.worker_id: worker.soon_free for worker in group}
    for victim in victims:
        for worker_id, room in victim.rooms:
            if worker_id in released:
                released[worker_id] = released[worker_id].plus(room)
    return fit_tasks(
        group,
        work.step.room,
        len(work.indexes),
        lambda worker: released[worker.worker_id],
        limits,
    )
