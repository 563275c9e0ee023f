"""A search for victims that frees large tasks' capacity with few stops."""

from cicadatray.scheduling.taskgraphs.displacement import total_cost
from cicadatray.scheduling.taskgraphs.displacement_search import DisplacementSearch
from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.running_work import RunningWork


class PrunedSearch(DisplacementSearch):
    """Compares on each worker the cheapest victims with those that free most for their cost."""

    __slots__ = ()

    def _victims_for_one_more_task(self, worker_id: str) -> list[RunningWork]:
        """Returns the cheaper of two choices, without victims that turn out not to be needed."""
        demand = self.work.step.demand
        available = self.available[worker_id]
        fitting = demand.fit_count(available)
        if self.limits is not None and fitting >= self.limits.get(worker_id, 0):
            return []
        stopped = set(self.victims)
        by_cost = [
            pair for pair in self.candidates_by_worker.get(worker_id, []) if pair[0] not in stopped
        ]
        by_density = sorted(
            by_cost, key=lambda pair: sum(self.costs[pair[0]]) / freed_share(demand, pair[1])
        )
        choices = [
            chosen
            for pairs in (by_cost, by_density)
            if (chosen := self._choose(pairs, available, fitting))
        ]
        counted = {victim.graph_id for victim in self.victims}
        return min(
            choices,
            key=lambda chosen: total_cost(chosen, counted, self.costs.__getitem__),
            default=[],
        )

    def _choose(
        self, pairs: list[tuple[RunningWork, Resources]], available: Resources, fitting: int
    ) -> list[RunningWork]:
        """Returns the first victims that suffice, without the most expensive superfluous ones."""
        demand = self.work.step.demand
        taken: list[tuple[RunningWork, Resources]] = []
        for pair in pairs:
            available = available.plus(pair[1])
            taken.append(pair)
            if demand.fit_count(available) > fitting:
                break
        else:
            return []
        for pair in sorted(taken, key=lambda pair: self.costs[pair[0]][0], reverse=True):
            without = available.minus(pair[1])
            if demand.fit_count(without) > fitting:
                available = without
                taken.remove(pair)
        # A gang may have several members on the worker.
        return list(dict.fromkeys(victim for victim, _ in taken))


def freed_share(demand: Resources, occupied: Resources) -> float:
    """Returns which part of the demand's scarcest resource a stop frees, above 0."""
    if demand.accelerators:
        return max(0.01, min(1.0, occupied.accelerators / demand.accelerators))
    if demand.cpu_millis:
        return max(0.01, min(1.0, occupied.cpu_millis / demand.cpu_millis))
    return 1.0
