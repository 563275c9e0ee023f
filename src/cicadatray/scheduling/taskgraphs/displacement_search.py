"""The search for running work to displace for urgent work."""

from collections.abc import Callable, Generator, Mapping, Sequence

from cicadatray.scheduling.taskgraphs.displacement import Displacement, total_cost
from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.running_work import RunningWork
from cicadatray.scheduling.taskgraphs.stoppable_work import (
    WORKS_BETWEEN_PAUSES,
    OnWorker,
    StoppableWork,
    without,
)
from cicadatray.scheduling.taskgraphs.task_fit import FillOrder, fit_tasks
from cicadatray.scheduling.taskgraphs.waiting_work import WaitingWork
from cicadatray.scheduling.taskgraphs.worker_capacity import WorkerCapacity

ResourceChange = Callable[[Resources, Resources], Resources]


class DisplacementSearch:
    """Chooses victims until the urgent work fits.

    Each iteration frees capacity for one more task on the worker where that costs least. Stopping
    the cheapest work anywhere would free a little on many workers, and a task that needs a whole
    worker would still not fit. `limits` gives how many more tasks of the step each worker may take,
    or is None without such a limit.

    `fitting` and `total` count the tasks that fit on each worker and on all. `options` caches the
    victims for one more task on a worker until a victim changes what is available there, and
    `option_costs` what they cost until the lost value of a graph among them, for which
    `workers_by_graph` has the workers, is counted for other victims. `left` holds the candidates on
    a worker that were not stopped when the options were last found, the cheapest first.
    """

    __slots__ = (
        "available",
        "candidates",
        "counted_graphs",
        "fill_order",
        "fitting",
        "group",
        "left",
        "limits",
        "option_costs",
        "options",
        "total",
        "victims",
        "work",
        "workers_by_graph",
    )

    def __init__(
        self,
        work: WaitingWork,
        group: Sequence[WorkerCapacity],
        candidates: StoppableWork,
        limits: Mapping[str, int] | None,
        fill_order: FillOrder | None = None,
    ) -> None:
        self.work = work
        self.candidates = candidates
        self.fill_order = fill_order
        self.group = group
        self.limits = limits
        self.available: dict[str, Resources] = {w.worker_id: w.free_after_stops for w in group}
        self.fitting = {worker_id: self._count_fitting(worker_id) for worker_id in self.available}
        self.total = sum(self.fitting.values())
        self.left: dict[str, OnWorker] = {}
        self.options: dict[str, list[RunningWork]] = {}
        self.option_costs: dict[str, float] = {}
        self.workers_by_graph: dict[str, set[str]] = {}
        # A dictionary is an ordered set here.
        self.victims: dict[RunningWork, None] = {}
        self.counted_graphs: set[str] = set()

    def run(self) -> Generator[None, None, Displacement | None]:
        """Returns a cheap displacement, or None when no displacement frees enough capacity.

        Yields wherever the caller may pause.
        """
        count = len(self.work.indexes)
        while self.total < count:
            victims = yield from self._cheapest_for_one_more_task()
            if not victims:
                return None
            for victim in victims:
                self._add_victim(victim)
        yield from self._drop_unneeded(count)
        workers = fit_tasks(
            self.group,
            self.work.step.demand,
            count,
            lambda worker: self.available[worker.worker_id],
            self.limits,
            self.fill_order,
        )
        assert workers is not None
        return Displacement(list(self.victims), workers, self.candidates.costs_of)

    def _count_fitting(self, worker_id: str) -> int:
        fitting = self.work.step.demand.fit_count(self.available[worker_id])
        if self.limits is not None:
            fitting = min(fitting, self.limits.get(worker_id, 0))
        return max(0, fitting)

    def _add_victim(self, victim: RunningWork) -> None:
        self.victims[victim] = None
        self._change_available(victim, Resources.plus)
        if victim.graph_id not in self.counted_graphs:
            self.counted_graphs.add(victim.graph_id)
            for worker_id in self.workers_by_graph.pop(victim.graph_id, ()):
                self.option_costs.pop(worker_id, None)

    def _cheapest_for_one_more_task(self) -> Generator[None, None, list[RunningWork]]:
        """Returns the cheapest victims that free capacity for one more task on some worker."""
        cheapest: list[RunningWork] = []
        lowest_cost = 0.0
        yield
        for worker in self.group:
            worker_id = worker.worker_id
            victims = self.options.get(worker_id)
            if victims is None:
                victims = yield from self._victims_for_one_more_task(worker_id)
                self.options[worker_id] = victims
                self.option_costs.pop(worker_id, None)
                yield
            if not victims:
                continue
            cost = self.option_costs.get(worker_id)
            if cost is None:
                cost = self._cost_of_option(worker_id, victims)
            if not cheapest or cost < lowest_cost:
                cheapest, lowest_cost = victims, cost
        return cheapest

    def _cost_of_option(self, worker_id: str, victims: list[RunningWork]) -> float:
        cost = total_cost(victims, self.counted_graphs, self.candidates.costs_of)
        self.option_costs[worker_id] = cost
        for graph_id in {victim.graph_id for victim in victims} - self.counted_graphs:
            self.workers_by_graph.setdefault(graph_id, set()).add(worker_id)
        return cost

    def _victims_for_one_more_task(
        self, worker_id: str
    ) -> Generator[None, None, list[RunningWork]]:
        """Returns the cheapest candidates whose end makes one more task fit on the worker.

        Returns an empty list if none suffice or the worker has reached its limit.
        """
        demand = self.work.step.demand
        available = self.available[worker_id]
        fitting = demand.fit_count(available)
        if self._has_reached_limit(worker_id, fitting):
            return []
        victims: dict[RunningWork, None] = {}
        for place, (candidate, occupied) in enumerate(self._left_on(worker_id)):
            if place % WORKS_BETWEEN_PAUSES == WORKS_BETWEEN_PAUSES - 1:
                yield
            available = available.plus(occupied)
            victims[candidate] = None
            if demand.fit_count(available) > fitting:
                return list(victims)
        return []

    def _has_reached_limit(self, worker_id: str, fitting: int) -> bool:
        return self.limits is not None and fitting >= self.limits.get(worker_id, 0)

    def _left_on(self, worker_id: str) -> OnWorker:
        """Returns the candidates on a worker that are not stopped yet, the cheapest first."""
        left = self.left.get(worker_id)
        if left is None:
            left = self.candidates.cheapest_first(worker_id)
        left = self.left[worker_id] = without(left, self.victims)
        return left

    def _drop_unneeded(self, count: int) -> Generator[None, None, None]:
        """Drops the victims that turned out not to be needed, the most expensive ones first."""
        costs_of = self.candidates.costs_of
        by_cost = sorted(self.victims, key=lambda victim: costs_of(victim)[0], reverse=True)
        for place, victim in enumerate(by_cost):
            if place % WORKS_BETWEEN_PAUSES == WORKS_BETWEEN_PAUSES - 1:
                yield
            self._change_available(victim, Resources.minus)
            if self.total < count:
                self._change_available(victim, Resources.plus)
            else:
                del self.victims[victim]

    def _change_available(self, victim: RunningWork, change: ResourceChange) -> None:
        for worker_id, occupied in victim.occupied:
            if worker_id in self.available:
                self.available[worker_id] = change(self.available[worker_id], occupied)
                self.options.pop(worker_id, None)
                self.total -= self.fitting[worker_id]
                self.fitting[worker_id] = self._count_fitting(worker_id)
                self.total += self.fitting[worker_id]
