"""The running work that may give way to one urgent work, by worker."""

from collections.abc import Collection, Generator, Sequence

from cicadatray.scheduling.taskgraphs.displacement import CostsOf
from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.running_work import RunningWork

# The work that occupies resources of a worker. A gang may be there several times.
OnWorker = list[tuple[RunningWork, Resources]]

# The caller may pause after so many works.
WORKS_BETWEEN_PAUSES = 512


class StoppableWork:
    """Candidates for displacement, of which a search looks at those on the workers of its group.

    `works` holds all of them, and `by_worker` those on each worker in the same order. `by_cost`
    holds them with the cheapest first, for the workers of which this was asked. `costs_of` returns
    what a stop costs.
    """

    __slots__ = ("by_cost", "by_worker", "costs_of", "works")

    def __init__(self, works: Sequence[RunningWork], costs_of: CostsOf) -> None:
        self.works = works
        self.costs_of = costs_of
        self.by_worker: dict[str, OnWorker] = {}
        self.by_cost: dict[str, OnWorker] = {}

    def index(self) -> Generator[None, None, None]:
        """Fills `by_worker`; yields wherever the caller may pause."""
        for place, work in enumerate(self.works):
            if place % WORKS_BETWEEN_PAUSES == WORKS_BETWEEN_PAUSES - 1:
                yield
            for worker_id, occupied in work.occupied:
                self.by_worker.setdefault(worker_id, []).append((work, occupied))

    def cheapest_first(self, worker_id: str) -> OnWorker:
        """Returns the work on a worker, the cheapest first."""
        found = self.by_cost.get(worker_id)
        if found is None:
            on_worker = self.by_worker.get(worker_id, ())
            found = sorted(on_worker, key=lambda pair: sum(self.costs_of(pair[0])))
            self.by_cost[worker_id] = found
        return found


def without(on_worker: OnWorker, stopped: Collection[RunningWork]) -> OnWorker:
    """Returns the work that is not stopped, in the same order."""
    return [pair for pair in on_worker if pair[0] not in stopped]
