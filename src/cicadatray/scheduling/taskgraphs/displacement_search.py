"""The search for running work to displace for urgent work."""

from collections.abc import Callable, Mapping, Sequence

from cicadatray.scheduling.taskgraphs.displacement import Displacement, total_cost
from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.running_work import RunningWork
from cicadatray.scheduling.taskgraphs.task_fit import fit_tasks
from cicadatray.scheduling.taskgraphs.waiting_work import WaitingWork
from cicadatray.scheduling.taskgraphs.worker_capacity import WorkerCapacity

ResourceChange = Callable[[Resources, Resources], Resources]


class DisplacementSearch:
    """Chooses victims until the urgent work fits.

    Each iteration frees capacity for one more task on the worker where that costs least. Stopping
    the cheapest work anywhere would free a little on many workers, and a task that needs a whole
    worker would still not fit. `limits` gives how many more tasks of the step each worker may take,
    or is None without such a limit.
    """

    __slots__ = ("available", "candidates", "group", "limits", "victims", "work")

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
        self.available: dict[str, Resources] = {w.worker_id: w.free_after_stops for w in group}
        self.victims: list[RunningWork] = []

    def run(self) -> Displacement | None:
        """Returns a cheap displacement, or None when no displacement frees enough capacity."""
        while (workers := self._fit()) is None:
            victims = self._cheapest_for_one_more_task()
            if not victims:
                return None
            for victim in victims:
                self._add_victim(victim)
        return self._drop_unneeded(workers)

    def _fit(self) -> list[WorkerCapacity] | None:
        return fit_tasks(
            self.group,
            self.work.step.demand,
            len(self.work.indexes),
            lambda worker: self.available[worker.worker_id],
            self.limits,
        )

    def _cheapest_for_one_more_task(self) -> list[RunningWork]:
        """Returns the cheapest victims that free capacity for one more task on some worker."""
        cheapest: list[RunningWork] = []
        lowest_cost = 0.0
        counted_graphs = {victim.graph_id for victim in self.victims}
        for worker in self.group:
            victims = self._victims_for_one_more_task(worker)
            cost = total_cost(victims, counted_graphs)
            if victims and (not cheapest or cost < lowest_cost):
                cheapest, lowest_cost = victims, cost
        return cheapest

    def _victims_for_one_more_task(self, worker: WorkerCapacity) -> list[RunningWork]:
        """Returns the cheapest candidates whose end makes one more task fit on the worker.

        Returns an empty list if none suffice or the worker has reached its limit.
        """
        demand = self.work.step.demand
        available = self.available[worker.worker_id]
        fitting = demand.fit_count(available)
        if self.limits is not None and fitting >= self.limits.get(worker.worker_id, 0):
            return []
        on_worker = [
            (candidate, occupied)
            for candidate in self.candidates
            if candidate not in self.victims
            for worker_id, occupied in candidate.occupied
            if worker_id == worker.worker_id
        ]
        on_worker.sort(key=lambda pair: pair[0].displacement_cost() + pair[0].lost_job_value())
        victims: list[RunningWork] = []
        for candidate, occupied in on_worker:
            available = available.plus(occupied)
            if candidate not in victims:
                victims.append(candidate)
            if demand.fit_count(available) > fitting:
                return victims
        return []

    def _add_victim(self, victim: RunningWork) -> None:
        self.victims.append(victim)
        self._change_available(victim, Resources.plus)

    def _drop_unneeded(self, workers: list[WorkerCapacity]) -> Displacement:
        """Drops the victims that turned out not to be needed, the most expensive ones first."""
        for victim in sorted(self.victims, key=RunningWork.displacement_cost, reverse=True):
            self._change_available(victim, Resources.minus)
            fitting = self._fit()
            if fitting is None:
                self._change_available(victim, Resources.plus)
            else:
                self.victims.remove(victim)
                workers = fitting
        return Displacement(self.victims, workers)

    def _change_available(self, victim: RunningWork, change: ResourceChange) -> None:
        for worker_id, occupied in victim.occupied:
            if worker_id in self.available:
                self.available[worker_id] = change(self.available[worker_id], occupied)
