"""Straightforward versions of the searches of placement, which refit everything in each step."""

from collections.abc import Callable, Generator, Iterable, Mapping, Sequence

from cicadatray.scheduling.taskgraphs.displacement import Displacement, total_cost
from cicadatray.scheduling.taskgraphs.earliest_fit import EarliestFit
from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.running_work import RunningWork
from cicadatray.scheduling.taskgraphs.stoppable_work import StoppableWork
from cicadatray.scheduling.taskgraphs.task_fit import FillOrder
from cicadatray.scheduling.taskgraphs.waiting_work import WaitingWork
from cicadatray.scheduling.taskgraphs.worker_capacity import WorkerCapacity

ResourceChange = Callable[[Resources, Resources], Resources]


def fit_tasks(
    workers: Sequence[WorkerCapacity],
    demand: Resources,
    count: int,
    available_of: Callable[[WorkerCapacity], Resources],
    limits: Mapping[str, int] | None = None,
    fill_order: FillOrder | None = None,
) -> list[WorkerCapacity] | None:
    """Returns the same as the function of this name in `cicadatray.scheduling`."""

    def order(worker: WorkerCapacity) -> tuple[int, int, int]:
        available = available_of(worker)
        return (available.accelerators, available.memory_mb, available.cpu_millis)

    chosen: list[WorkerCapacity] = []
    for worker in sorted(workers, key=order):
        fitting = demand.fit_count(available_of(worker))
        if limits is not None:
            fitting = min(fitting, limits.get(worker.worker_id, 0))
        chosen += [worker] * min(fitting, count - len(chosen))
        if len(chosen) == count:
            return chosen
    return None


def find_earliest_fit(
    group: Sequence[WorkerCapacity],
    demand: Resources,
    count: int,
    running_by_end: Iterable[RunningWork],
    limits: Mapping[str, int] | None,
    must_be_idle: bool = False,
    fill_order: FillOrder | None = None,
) -> EarliestFit | None:
    """Returns the same as the function of this name in `cicadatray.scheduling`."""
    available = {worker.worker_id: worker.free_after_stops for worker in group}
    for running in running_by_end:
        in_group = [(name, occupied) for name, occupied in running.occupied if name in available]
        if not in_group:
            continue
        for worker_id, occupied in in_group:
            available[worker_id] = available[worker_id].plus(occupied)
        usable = [w for w in group if not must_be_idle or available[w.worker_id] == w.capacity]
        chosen = fit_tasks(usable, demand, count, lambda w: available[w.worker_id], limits)
        if chosen is not None:
            return EarliestFit(running.remaining_s(), chosen)
    return None


class ReferenceDisplacementSearch:
    """Chooses the same victims as `DisplacementSearch`."""

    __slots__ = ("available", "candidates", "group", "limits", "victims", "work")

    def __init__(
        self,
        work: WaitingWork,
        group: Sequence[WorkerCapacity],
        candidates: StoppableWork,
        limits: Mapping[str, int] | None,
        fill_order: FillOrder | None = None,
    ) -> None:
        self.work = work
        self.group = group
        self.candidates = candidates.works
        self.limits = limits
        self.available: dict[str, Resources] = {w.worker_id: w.free_after_stops for w in group}
        self.victims: list[RunningWork] = []

    def run(self) -> Generator[None, None, Displacement | None]:
        """Returns a cheap displacement, or None when no displacement frees enough capacity."""
        yield
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
