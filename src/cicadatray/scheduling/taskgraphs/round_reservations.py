"""Reservations of capacity for blocked work, and displacements for urgent work."""

from collections.abc import Generator, Sequence

from cicadatray.scheduling.taskgraphs.displacement import Displacement
from cicadatray.scheduling.taskgraphs.fit_search import FitSearch
from cicadatray.scheduling.taskgraphs.job_value import URGENT_PRIORITY
from cicadatray.scheduling.taskgraphs.rules.candidate_rule import CandidateRule
from cicadatray.scheduling.taskgraphs.rules.round_view import RoundView
from cicadatray.scheduling.taskgraphs.rules.victim_rule import VictimRule
from cicadatray.scheduling.taskgraphs.running_work import RunningWork
from cicadatray.scheduling.taskgraphs.stoppable_work import StoppableWork
from cicadatray.scheduling.taskgraphs.task_fit import free_once_stopped
from cicadatray.scheduling.taskgraphs.trial_share import may_begin_trials
from cicadatray.scheduling.taskgraphs.waiting_work import WaitingWork
from cicadatray.scheduling.taskgraphs.worker_capacity import WorkerCapacity

# Capacity is reserved for at most this many blocked gangs at a time; more reservations would leave
# workers idle.
MAX_RESERVED_GANGS = 2


class RoundReservations:
    """Reserves workers for work that fits nowhere now, until the end of one placement round.

    Without `may_displace` no running work is stopped. `count` counts the reservations, `gangs` the
    blocked gangs among them, and `trial_pools` has the pools in which workers are reserved for a
    task that must start alone.
    """

    __slots__ = (
        "candidates",
        "count",
        "gangs",
        "may_displace",
        "search",
        "trial_pools",
        "victims",
        "view",
    )

    def __init__(
        self,
        view: RoundView,
        search: FitSearch,
        candidates: CandidateRule,
        victims: VictimRule,
        may_displace: bool,
    ) -> None:
        self.view = view
        self.search = search
        self.candidates = candidates
        self.victims = victims
        self.may_displace = may_displace
        self.count = 0
        self.gangs = 0
        self.trial_pools: set[str] = set()

    def reserve_for_trial(
        self, work: WaitingWork, groups: list[list[WorkerCapacity]]
    ) -> Generator[None, None, None]:
        """Reserves the workers that become idle first for the first suspect work of each pool.

        Suspect work displaces nothing.
        """
        pool = work.graph.graph.policy.pool
        if pool in self.trial_pools:
            return
        yield from self.view.index_running()
        earliest = self.search.earliest_in_any(work, groups, must_be_idle=True)
        if earliest is not None and may_begin_trials(self.view.workers, work, earliest.workers):
            self.trial_pools.add(pool)
            self._reserve(work, earliest.workers)

    def reserve_or_displace(
        self, work: WaitingWork, groups: list[list[WorkerCapacity]]
    ) -> Generator[None, None, None]:
        """Reserves capacity that becomes free for the work, or displaces other work."""
        for group in groups:
            unreserved = [worker for worker in group if not worker.is_reserved]
            limits = self.search.limits(work, unreserved)
            chosen = self.search.fit(work, unreserved, free_once_stopped, limits)
            if chosen is not None and self.candidates.may_use(work, chosen):
                self._reserve(work, chosen)
                return
        groups = self.candidates.groups_to_clear(work, groups)
        if work.priority == URGENT_PRIORITY and self.may_displace_for(work):
            yield from self.view.index_running()
            is_served = self._reserve_if_free_in_time(work, groups)
            if not is_served:
                is_served = yield from self._displace(work, groups)
            if not is_served and self.victims.is_reserved_without_displacement(work):
                self._reserve_for_gang(work, groups)
        elif work.step.is_gang and self.gangs < MAX_RESERVED_GANGS:
            yield from self.view.index_running()
            self._reserve_for_gang(work, groups)

    def may_displace_for(self, work: WaitingWork) -> bool:
        """Returns whether other work may give way to this urgent work."""
        is_in_time = work.is_guaranteed or self.view.now_s < work.latest_start_s()
        return self.may_displace and is_in_time

    def _reserve_if_free_in_time(
        self, work: WaitingWork, groups: list[list[WorkerCapacity]]
    ) -> bool:
        """Reserves the capacity of work that will end before the urgent work must start.

        Returns False if no such capacity is sufficient.
        """
        limits = self.view.start_limits
        latest_s = work.latest_start_s() - limits.displacement_s()
        if work.is_guaranteed:
            latest_s = min(latest_s, limits.latest_displacement_s(work.graph.accepted_s))
        longest_wait_s = latest_s - self.view.now_s
        for group in groups:
            unreserved = [worker for worker in group if not worker.is_reserved]
            fit = self.search.earliest(work, unreserved)
            if fit is not None and fit.remaining_s < longest_wait_s:
                self._reserve(work, fit.workers)
                return True
        return False

    def _reserve(self, work: WaitingWork, chosen: list[WorkerCapacity]) -> None:
        """Reserves the chosen workers as a whole for the work until the end of the round."""
        self.count += 1
        for worker in chosen:
            worker.free_after_stops = worker.free_after_stops.minus(work.step.demand)
            worker.is_reserved = True
            worker.reserved_for = work

    def _displace(
        self, work: WaitingWork, groups: list[list[WorkerCapacity]]
    ) -> Generator[None, None, bool]:
        """Displaces the cheapest victims in any group and reserves their capacity.

        Returns False if nothing suffices or the work does not justify it.
        """
        candidates = StoppableWork(self.victims.candidates(work), self.victims.costs_of)
        yield from candidates.index()
        fill_order = self.candidates.fill_order(work)
        cheapest: Displacement | None = None
        for group in groups:
            unreserved = [worker for worker in group if not worker.is_reserved]
            limits = self.search.limits(work, unreserved)
            displacement = yield from self.victims.find(
                work, unreserved, candidates, limits, fill_order
            )
            if displacement is not None and (cheapest is None or displacement.cost < cheapest.cost):
                cheapest = displacement
        if cheapest is None or not self.victims.is_worthwhile(work, cheapest):
            return False
        self.view.remove_displaced(cheapest.victims)
        for victim in cheapest.victims:
            self.view.plan.displaced.update(dict.fromkeys(victim.runs, work.graph.graph.graph_id))
        self._count_as_free_after_stops(cheapest.victims)
        self.view.plan.displacements.append(cheapest)
        self.victims.displaced(work, cheapest)
        self._reserve(work, cheapest.workers)
        return True

    def _count_as_free_after_stops(self, victims: Sequence[RunningWork]) -> None:
        workers = {worker.worker_id: worker for worker in self.view.workers}
        for victim in victims:
            for worker_id, demand in victim.occupied:
                if worker_id in workers:
                    worker = workers[worker_id]
                    worker.free_after_stops = worker.free_after_stops.plus(demand)

    def _reserve_for_gang(self, work: WaitingWork, groups: list[list[WorkerCapacity]]) -> None:
        """Reserves the workers that fit the gang first, so that small tasks do not refill them."""
        earliest = self.search.earliest_in_any(work, groups)
        if earliest is not None:
            self.gangs += 1
            self._reserve(work, earliest.workers)
