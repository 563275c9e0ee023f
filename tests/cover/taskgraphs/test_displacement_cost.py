"""Tests of what the search for victims costs."""

from collections.abc import Sequence

import pytest

from cicadatray.scheduling.taskgraphs.displacement import Displacement, stop_costs
from cicadatray.scheduling.taskgraphs.displacement_search import DisplacementSearch
from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.rules.pruned_search import PrunedSearch
from cicadatray.scheduling.taskgraphs.rules.round_view import RoundView
from cicadatray.scheduling.taskgraphs.rules.rule_memory import RuleMemory
from cicadatray.scheduling.taskgraphs.running_work import RunningWork
from cicadatray.scheduling.taskgraphs.start_limits import StartLimits
from cicadatray.scheduling.taskgraphs.step import Step
from cicadatray.scheduling.taskgraphs.stoppable_work import WORKS_BETWEEN_PAUSES, StoppableWork
from cicadatray.scheduling.taskgraphs.worker_capacity import WorkerCapacity
from cover.taskgraphs.placement_helpers import make_running, make_waiting

CORES = 64_000
WHOLE_WORKER = Step(1, Resources(CORES, 0, 0), 1.0)
SEARCHES = pytest.mark.parametrize("search", [DisplacementSearch, PrunedSearch])


class ComparedWork(RunningWork):
    """Counts comparisons with other work, which a search of a list makes."""

    __slots__ = ()
    comparisons = 0

    def __eq__(self, other: object) -> bool:
        ComparedWork.comparisons += 1
        return self is other

    __hash__ = RunningWork.__hash__


def make_workers(count: int) -> list[WorkerCapacity]:
    capacity = Resources(CORES, 0, 0)
    return [WorkerCapacity(f"w{n}", "pool", f"r{n}", frozenset(), capacity) for n in range(count)]


def fill(workers: Sequence[WorkerCapacity], per_worker: int) -> list[RunningWork]:
    """Returns equal running tasks that leave nothing free."""
    demand = Resources(CORES // per_worker, 0, 0)
    running = [
        make_running(workers, [(worker.worker_id, demand)], f"{worker.worker_id}.{number}")
        for worker in workers
        for number in range(per_worker)
    ]
    for work in running:
        work.__class__ = ComparedWork
    return running


class Counted:
    """Counts how often costs and fits are computed, and the pauses of a search."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.costs = 0
        self.fits = 0
        self.pauses = 0
        fit_count = Resources.fit_count

        def counted(demand: Resources, available: Resources) -> int:
            self.fits += 1
            return fit_count(demand, available)

        monkeypatch.setattr(Resources, "fit_count", counted)

    def costs_of(self, victim: RunningWork) -> tuple[float, float]:
        self.costs += 1
        return stop_costs(victim)

    def search(
        self,
        search: type[DisplacementSearch],
        group: Sequence[WorkerCapacity],
        running: Sequence[RunningWork],
    ) -> Displacement | None:
        self.fits = self.costs = self.pauses = 0
        candidates = StoppableWork(running, self.costs_of)
        for _ in candidates.index():
            self.pauses += 1
        steps = search(make_waiting(WHOLE_WORKER, 0)[0], group, candidates, None).run()
        while True:
            try:
                next(steps)
            except StopIteration as end:
                displacement: Displacement | None = end.value
                return displacement
            self.pauses += 1


@SEARCHES
def test_cost_grows_with_the_victims(
    monkeypatch: pytest.MonkeyPatch, search: type[DisplacementSearch]
) -> None:
    """Guards against an urgent job that stops the leader while it looks for many small victims."""
    counted = Counted(monkeypatch)
    ComparedWork.comparisons = 0
    work = []
    for per_worker in (500, 2000):
        workers = make_workers(3)
        displacement = counted.search(search, workers, fill(workers, per_worker))
        assert displacement is not None and len(displacement.victims) == per_worker
        work.append(counted.fits + counted.costs)
    assert work[1] <= 4.4 * work[0]
    assert ComparedWork.comparisons == 0
    assert counted.pauses >= 3 * 2000 // WORKS_BETWEEN_PAUSES


@SEARCHES
def test_only_the_work_on_the_group_is_looked_at(
    monkeypatch: pytest.MonkeyPatch, search: type[DisplacementSearch]
) -> None:
    """Guards against a cost of racks times all running work for an urgent gang in one rack."""
    counted = Counted(monkeypatch)
    workers = make_workers(50)
    running = fill(workers, 20)
    alone = counted.search(search, workers[:1], running[:20])
    expected = counted.costs, counted.fits
    found = counted.search(search, workers[:1], running)
    assert (counted.costs, counted.fits) == expected
    assert alone is not None and found is not None and found.victims == alone.victims


def test_running_work_is_ordered_in_steps_and_once() -> None:
    """Guards against a pass over all running work for each displacement of a round."""
    workers = make_workers(3)
    running = fill(workers, 500)
    view = RoundView(workers, running, 0.0, StartLimits(), RuleMemory())
    assert sum(1 for _ in view.index_running()) >= 2 * len(running) // WORKS_BETWEEN_PAUSES - 1
    by_end = view.running_by_end()
    view.remove_displaced(running[:700])
    assert view.running == running[700:]
    assert view.running_by_end() is by_end
    assert by_end.on(workers) == running[700:]
