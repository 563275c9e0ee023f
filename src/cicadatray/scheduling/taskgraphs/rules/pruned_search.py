"""A search for victims that frees large tasks' capacity with few stops."""

from collections.abc import Generator, Mapping, Sequence

from cicadatray.scheduling.taskgraphs.displacement import total_cost
from cicadatray.scheduling.taskgraphs.displacement_search import DisplacementSearch
from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.running_work import RunningWork
from cicadatray.scheduling.taskgraphs.stoppable_work import (
    WORKS_BETWEEN_PAUSES,
    OnWorker,
    StoppableWork,
    without,
)
from cicadatray.scheduling.taskgraphs.task_fit import FillOrder
from cicadatray.scheduling.taskgraphs.waiting_work import WaitingWork
from cicadatray.scheduling.taskgraphs.worker_capacity import WorkerCapacity


class PrunedSearch(DisplacementSearch):
    """Compares on each worker the cheapest victims with those that free most for their cost."""

    __slots__ = ("left_by_density",)

    def __init__(
        self,
        work: WaitingWork,
        group: Sequence[WorkerCapacity],
        candidates: StoppableWork,
        limits: Mapping[str, int] | None,
        fill_order: FillOrder | None = None,
    ) -> None:
        super().__init__(work, group, candidates, limits, fill_order)
        self.left_by_density: dict[str, OnWorker] = {}

    def _victims_for_one_more_task(
        self, worker_id: str
    ) -> Generator[None, None, list[RunningWork]]:
        """Returns the cheaper of two choices, without victims that turn out not to be needed."""
        demand = self.work.step.demand
        available = self.available[worker_id]
        fitting = demand.fit_count(available)
        if self._has_reached_limit(worker_id, fitting):
            return []
        choices = []
        for pairs in (self._left_on(worker_id), self._left_by_density(worker_id)):
            yield
            chosen = yield from self._choose(pairs, available, fitting)
            if chosen:
                choices.append(chosen)
        costs_of = self.candidates.costs_of
        return min(
            choices,
            key=lambda chosen: total_cost(chosen, self.counted_graphs, costs_of),
            default=[],
        )

    def _left_by_density(self, worker_id: str) -> OnWorker:
        """Returns the candidates that are not stopped, by their cost for what they free."""
        left = self.left_by_density.get(worker_id)
        if left is None:
            demand, costs_of = self.work.step.demand, self.candidates.costs_of
            left = sorted(
                self._left_on(worker_id),
                key=lambda pair: sum(costs_of(pair[0])) / freed_share(demand, pair[1]),
            )
        left = self.left_by_density[worker_id] = without(left, self.victims)
        return left

    def _choose(
        self, pairs: OnWorker, available: Resources, fitting: int
    ) -> Generator[None, None, list[RunningWork]]:
        """Returns the first victims that suffice, without the most expensive superfluous ones."""
        demand = self.work.step.demand
        taken = 0
        for _, occupied in pairs:
            available = available.plus(occupied)
            taken += 1
            if demand.fit_count(available) > fitting:
                break
            if taken % WORKS_BETWEEN_PAUSES == 0:
                yield
        else:
            return []
        costs_of = self.candidates.costs_of
        places = sorted(range(taken), key=lambda place: costs_of(pairs[place][0])[0], reverse=True)
        superfluous: set[int] = set()
        for number, place in enumerate(places):
            if number % WORKS_BETWEEN_PAUSES == WORKS_BETWEEN_PAUSES - 1:
                yield
            less = available.minus(pairs[place][1])
            if demand.fit_count(less) > fitting:
                available = less
                superfluous.add(place)
        # A gang may have several members on the worker.
        return list(
            dict.fromkeys(pairs[place][0] for place in range(taken) if place not in superfluous)
        )


def freed_share(demand: Resources, occupied: Resources) -> float:
    """Returns which part of the demand's scarcest resource a stop frees, above 0."""
    if demand.accelerators:
        return max(0.01, min(1.0, occupied.accelerators / demand.accelerators))
    if demand.cpu_millis:
        return max(0.01, min(1.0, occupied.cpu_millis / demand.cpu_millis))
    return 1.0
