"""The search for running work to displace for urgent work."""

from collections.abc import Callable, Mapping, Sequence

from cicadatray.scheduling.taskgraphs.displacement import (
    CostsOf,
    Displacement,
    stop_costs,
    total_cost,
)
from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.running_work import RunningWork
from cicadatray.scheduling.taskgraphs.task_fit import FillOrder, fit_tasks
from cicadatray.scheduling.taskgraphs.waiting_work import WaitingWork
from cicadatray.scheduling.taskgraphs.worker_capacity import WorkerCapacity

ResourceChange = Callable[[Resources, Resources], Resources]


class DisplacementSearch:
    """Chooses victims until the urgent work fits.

    Each iteration frees capacity for one more task on the worker where that costs least. Stopping
    the cheapest work anywhere would free a little on many workers, and a task that needs a whole
    worker would still not fit. `limits` gives how many more tasks of the step each worker may take,
    or is None without such a limit. `costs_of` returns what a stop costs.

    `candidates_by_worker` holds the candidates of each worker, the cheapest first. `options` caches
    the victims for one more task on a worker until a victim changes what is available there.
    """

    __slots__ = (
        "available",
        "candidates_by_worker",
        "costs",
        "costs_of",
        "fill_order",
        "group",
        "limits",
        "options",
        "victims",
        "work",
    )

    def __init__(
        self,
        work: WaitingWork,
        group: Sequence[WorkerCapacity],
        candidates: Sequence[RunningWork],
        limits: Mapping[str, int] | None,
        fill_order: FillOrder | None = None,
        costs_of: CostsOf = stop_costs,
    ) -> None:
        self.work = work
        self.costs_of = costs_of
        self.fill_order = fill_order
        self.group = group
        self.limits = limits
        self.available: dict[str, Resources] = {w.worker_id: w.free_after_stops for w in group}
        self.costs: dict[RunningWork, tuple[float, float]] = {}
        self.candidates_by_worker: dict[str, list[tuple[RunningWork, Resources]]] = {}
        for candidate in candidates:
            for worker_id, occupied in candidate.occupied:
                if worker_id in self.available:
                    self._add_candidate(candidate, worker_id, occupied)
        for on_worker in self.candidates_by_worker.values():
            on_worker.sort(key=lambda pair: sum(self.costs[pair[0]]))
        self.options: dict[str, list[RunningWork]] = {}
        self.victims: list[RunningWork] = []

    def run(self) -> Displacement | None:
        """Returns a cheap displacement, or None when no displacement frees enough capacity."""
        while (workers := self._fit()) is None:
            victims = self._cheapest_for_one_more_task()
            if not victims:
                return None
            for victim in victims:
                self.victims.append(victim)
                self._change_available(victim, Resources.plus)
        return self._drop_unneeded(workers)

    def _add_candidate(self, candidate: RunningWork, worker_id: str, occupied: Resources) -> None:
        if candidate not in self.costs:
            self.costs[candidate] = self.costs_of(candidate)
        self.candidates_by_worker.setdefault(worker_id, []).append((candidate, occupied))

    def _fit(self) -> list[WorkerCapacity] | None:
        return fit_tasks(
            self.group,
            self.work.step.demand,
            len(self.work.indexes),
            lambda worker: self.available[worker.worker_id],
            self.limits,
            self.fill_order,
        )

    def _cheapest_for_one_more_task(self) -> list[RunningWork]:
        """Returns the cheapest victims that free capacity for one more task on some worker."""
        cheapest: list[RunningWork] = []
        lowest_cost = 0.0
        counted_graphs = {victim.graph_id for victim in self.victims}
        for worker in self.group:
            victims = self.options.get(worker.worker_id)
            if victims is None:
                victims = self._victims_for_one_more_task(worker.worker_id)
                self.options[worker.worker_id] = victims
            if not victims:
                continue
            cost = total_cost(victims, counted_graphs, self.costs.__getitem__)
            if not cheapest or cost < lowest_cost:
                cheapest, lowest_cost = victims, cost
        return cheapest

    def _victims_for_one_more_task(self, worker_id: str) -> list[RunningWork]:
        """Returns the cheapest candidates whose end makes one more task fit on the worker.

        Returns an empty list if none suffice or the worker has reached its limit.
        """
        demand = self.work.step.demand
        available = self.available[worker_id]
        fitting = demand.fit_count(available)
        if self.limits is not None and fitting >= self.limits.get(worker_id, 0):
            return []
        victims: list[RunningWork] = []
        for candidate, occupied in self.candidates_by_worker.get(worker_id, []):
            if candidate in self.victims:
                continue
            available = available.plus(occupied)
            if candidate not in victims:
                victims.append(candidate)
            if demand.fit_count(available) > fitting:
                return victims
        return []

    def _drop_unneeded(self, workers: list[WorkerCapacity]) -> Displacement:
        """Drops the victims that turned out not to be needed, the most expensive ones first."""
        for victim in sorted(self.victims, key=lambda v: self.costs[v][0], reverse=True):
            self._change_available(victim, Resources.minus)
            fitting = self._fit()
            if fitting is None:
                self._change_available(victim, Resources.plus)
            else:
                self.victims.remove(victim)
                workers = fitting
        return Displacement(self.victims, workers, self.costs.__getitem__)

    def _change_available(self, victim: RunningWork, change: ResourceChange) -> None:
        for worker_id, occupied in victim.occupied:
            if worker_id in self.available:
                self.available[worker_id] = change(self.available[worker_id], occupied)
                self.options.pop(worker_id, None)
