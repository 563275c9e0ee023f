"""Victims of a displacement that gains callers more than it costs them."""

import math
from collections.abc import Mapping, Sequence

from cicadatray.scheduling.taskgraphs.displacement import Displacement
from cicadatray.scheduling.taskgraphs.earliest_fit import find_earliest_fit
from cicadatray.scheduling.taskgraphs.job_value import job_value
from cicadatray.scheduling.taskgraphs.rules.displacement_history import DisplacementHistory
from cicadatray.scheduling.taskgraphs.rules.expected_value import value_of_end, value_of_start
from cicadatray.scheduling.taskgraphs.rules.job_sizes import JobSizes
from cicadatray.scheduling.taskgraphs.rules.pruned_search import PrunedSearch
from cicadatray.scheduling.taskgraphs.rules.round_view import RoundView
from cicadatray.scheduling.taskgraphs.rules.victim_rule import VictimRule, victim_rules
from cicadatray.scheduling.taskgraphs.running_work import RESTART_S, STOP_COST, RunningWork
from cicadatray.scheduling.taskgraphs.task_fit import FillOrder
from cicadatray.scheduling.taskgraphs.waiting_work import WaitingWork
from cicadatray.scheduling.taskgraphs.worker_capacity import WorkerCapacity

# As for other blocked gangs: more reservations would leave workers idle.
MAX_RESERVED_GANGS = 2


@victim_rules.register("worthwhile")
class WorthwhileVictims(VictimRule):
    """Displaces work only where the expected gain of the urgent job exceeds all that it displaces.

    The gain is the difference between a start after a stop and one when running work ends.
    Guaranteed work may displace whatever it costs; it stops what is protected last.
    """

    __slots__ = (
        "costs",
        "history",
        "reserved_gangs",
        "running_by_end",
        "sizes",
        "wait_s",
    )

    def __init__(self, view: RoundView) -> None:
        super().__init__(view)
        self.sizes = view.memory.get(JobSizes)
        self.history = view.memory.get(DisplacementHistory)
        self.history.forget(view.now_s)
        self.costs: dict[RunningWork, tuple[float, float]] = {}
        self.running_by_end: list[RunningWork] = []
        self.wait_s = math.inf
        self.reserved_gangs = 0

    def observe(self, waiting: Sequence[WaitingWork]) -> None:
        """Learns the sizes of new jobs."""
        self.sizes.observe(waiting)

    def candidates(self, work: WaitingWork) -> list[RunningWork]:
        """Returns the work that may give way, without what displaced or was displaced just now."""
        self.wait_s = math.inf
        if not self.running_by_end:
            self.running_by_end = sorted(self.view.running, key=RunningWork.remaining_s)
        return [
            running
            for running in self.view.running
            if running.can_be_displaced_by(work.priority, work.is_guaranteed)
            and (work.is_guaranteed or not self.history.is_protected(running))
        ]

    def find(
        self,
        work: WaitingWork,
        group: Sequence[WorkerCapacity],
        candidates: Sequence[RunningWork],
        limits: Mapping[str, int] | None,
        fill_order: FillOrder | None,
    ) -> Displacement | None:
        """Returns the cheapest displacement found, and notes when the work fits without one."""
        demand, count = work.step.demand, len(work.indexes)
        fit = find_earliest_fit(
            group, demand, count, self.running_by_end, limits, fill_order=fill_order
        )
        if fit is not None:
            self.wait_s = min(self.wait_s, fit.remaining_s)
        return PrunedSearch(work, group, candidates, limits, fill_order, self.costs_of).run()

    def is_worthwhile(self, work: WaitingWork, displacement: Displacement) -> bool:
        """Returns whether the work is guaranteed or gains more than its job displaces in all."""
        graph_id = work.graph.graph.graph_id
        displacement.value = self._gain(work)
        spent = self.history.spent.get(graph_id, 0.0)
        return work.is_guaranteed or spent + displacement.cost < displacement.value

    def displaced(self, work: WaitingWork, displacement: Displacement) -> None:
        """Remembers the displacement."""
        self.history.record(work, displacement, self.view.now_s)
        self.running_by_end = []

    def is_reserved_without_displacement(self, work: WaitingWork) -> bool:
        """Returns whether the work is one of the first gangs that neither fit nor displace."""
        if not work.step.is_gang or self.reserved_gangs >= MAX_RESERVED_GANGS:
            return False
        self.reserved_gangs += 1
        return True

    def costs_of(self, victim: RunningWork) -> tuple[float, float]:
        """Returns the cost of stopping one work and the value that its job loses."""
        costs = self.costs.get(victim)
        if costs is None:
            costs = self.costs[victim] = self._stop_cost(victim), self._lost_value(victim)
        return costs

    def _gain(self, work: WaitingWork) -> float:
        """Returns the expected value of a start after a stop, less that of waiting for a fit."""
        now_s = self.view.now_s
        factor = self.sizes.worth_factor(work.graph.graph.graph_id)
        stopped_s = now_s + self.view.start_limits.displacement_s()
        value = value_of_start(work, stopped_s)
        if math.isfinite(self.wait_s):
            value -= value_of_start(work, max(stopped_s, now_s + self.wait_s))
        return value * factor

    def _stop_cost(self, victim: RunningWork) -> float:
        """Returns the lost work, and what the capacity would do until it is used again.

        The number of starts protects work that has been restarted before.
        """
        idle_s = self.view.start_limits.displacement_s()
        starts = max((run.run for run in victim.runs), default=1)
        lost = victim.lost_core_seconds() + idle_s * victim.cores()
        cost = (lost + STOP_COST * len(victim.runs)) * starts
        return cost + job_value(victim.priority) * self.history.is_protected(victim)

    def _lost_value(self, victim: RunningWork) -> float:
        remaining_s = victim.remaining_s()
        rerun_s = remaining_s if victim.is_checkpointable else victim.elapsed_s + remaining_s
        lost = value_of_end(victim, remaining_s) - value_of_end(victim, rerun_s + RESTART_S)
        return lost * self.sizes.worth_factor(victim.graph_id)
