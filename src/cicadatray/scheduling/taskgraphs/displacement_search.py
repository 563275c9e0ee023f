"""Which running work gives way to urgent work."""

from collections.abc import Callable, Mapping, Sequence

from cicadatray.scheduling.taskgraphs.displacement import Displacement, total_loss
from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.running_work import RunningWork
from cicadatray.scheduling.taskgraphs.task_fit import fit_tasks
from cicadatray.scheduling.taskgraphs.waiting_work import WaitingWork
from cicadatray.scheduling.taskgraphs.worker_room import WorkerCapacity

RoomChange = Callable[[Resources, Resources], Resources]


class DisplacementSearch:
    """Frees one worker after the other, each time the one with the least loss for a task.

    Stopping the cheapest work anywhere would free a little on many workers, and a task that needs
    a whole worker would still not fit.
    """

    __slots__ = ("candidates", "group", "limits", "room", "victims", "work")

    def __init__(
        self,
        work: WaitingWork,
        group: Sequence[WorkerCapacity],
        candidates: Sequence[RunningWork],
        limits: Mapping[str, int] | None,
    ) -> None:
        self.work = work
        self.group = group
        self.candidates = candidates
        self.limits = limits
        self.room: dict[str, Resources] = {w.worker_id: w.free_after_stops for w in group}
        self.victims: list[RunningWork] = []

    def run(self) -> Displacement | None:
        """Returns the cheapest displacement found, or None when nothing makes enough room."""
        while (chosen := self._fit()) is None:
            victims = self._cheapest_next_task()
            if not victims:
                return None
            for victim in victims:
                self._stop(victim)
        return self._without_needless(chosen)

    def _fit(self) -> list[WorkerCapacity] | None:
        return fit_tasks(
            self.group,
            self.work.step.demand,
            len(self.work.indexes),
            lambda worker: self.room[worker.worker_id],
            self.limits,
        )

    def _cheapest_next_task(self) -> list[RunningWork]:
        """Returns the work whose end makes room for one more task on some worker."""
        best: list[RunningWork] = []
        best_loss = 0.0
        lost_graphs = {victim.graph_id for victim in self.victims}
        for worker in self.group:
            victims = self._victims_for_one_more(worker)
            loss = total_loss(victims, lost_graphs)
            if victims and (not best or loss < best_loss):
                best, best_loss = victims, loss
        return best

    def _victims_for_one_more(self, worker: WorkerCapacity) -> list[RunningWork]:
        needs = self.work.step.demand
        room = self.room[worker.worker_id]
        fitting = needs.times_in(room)
        if self.limits is not None and fitting >= self.limits.get(worker.worker_id, 0):
            return []
        here = [
            (candidate, occupied)
            for candidate in self.candidates
            if candidate not in self.victims
            for name, occupied in candidate.rooms
            if name == worker.worker_id
        ]
        here.sort(key=lambda pair: pair[0].loss() + pair[0].lost_value())
        victims: list[RunningWork] = []
        for candidate, occupied in here:
            room = room.plus(occupied)
            if candidate not in victims:
                victims.append(candidate)
            if needs.times_in(room) > fitting:
                return victims
        return []

    def _stop(self, victim: RunningWork) -> None:
        self.victims.append(victim)
        self._change_room(victim, Resources.plus)

    def _without_needless(self, chosen: list[WorkerCapacity]) -> Displacement:
        """Gives back, the dearest first, what turned out not to be needed."""
        for victim in sorted(self.victims, key=RunningWork.loss, reverse=True):
            self._change_room(victim, Resources.minus)
            fitting = self._fit()
            if fitting is None:
                self._change_room(victim, Resources.plus)
            else:
                self.victims.remove(victim)
                chosen = fitting
        return Displacement(self.victims, chosen)

    def _change_room(self, victim: RunningWork, change: RoomChange) -> None:
        for worker_id, occupied in victim.rooms:
            if worker_id in self.room:
                self.room[worker_id] = change(self.room[worker_id], occupied)
