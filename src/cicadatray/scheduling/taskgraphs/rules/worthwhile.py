"""Victims of a displacement that gains callers more than it costs them."""

import math
from collections.abc import Generator, Mapping, Sequence

from cicadatray.scheduling.taskgraphs.displacement import Displacement, stop_costs
from cicadatray.scheduling.taskgraphs.earliest_fit import find_earliest_fit
from cicadatray.scheduling.taskgraphs.job_value import job_value
from cicadatray.scheduling.taskgraphs.rules.displacement_history import DisplacementHistory
from cicadatray.scheduling.taskgraphs.rules.expected_value import value_of_start
from cicadatray.scheduling.taskgraphs.rules.job_sizes import JobSizes
from cicadatray.scheduling.taskgraphs.rules.pruned_search import PrunedSearch
from cicadatray.scheduling.taskgraphs.rules.round_view import RoundView
from cicadatray.scheduling.taskgraphs.rules.victim_rule import VictimRule, victim_rules
from cicadatray.scheduling.taskgraphs.running_work import RunningWork
from cicadatray.scheduling.taskgraphs.stoppable_work import StoppableWork
from cicadatray.scheduling.taskgraphs.task_fit import FillOrder
from cicadatray.scheduling.taskgraphs.waiting_work import WaitingWork
from cicadatray.scheduling.taskgraphs.worker_capacity import WorkerCapacity

# As for other blocked gangs: more reservations would leave workers idle.
MAX_RESERVED_GANGS = 2
# A job may displace this many times its value. With a limit of one value, large urgent gangs waited
# instead of displacing and more of them ended too late for any value.
VALUE_SCALE = 1.5
# A smaller gain, as a share of the job's value, is within the error of estimates.
LEAST_GAIN_SHARE = 0.2


@victim_rules.register("worthwhile")
class WorthwhileVictims(VictimRule):
    """Displaces work for a job that gains by it and is worth more than all that it displaces.

    The gain is the difference between a start after a stop and one when running work ends.
    Guaranteed work may displace whatever it costs; it stops what is protected last.
    """

    __slots__ = (
        "history",
        "reserved_gangs",
        "sizes",
        "wait_s",
    )

    def __init__(self, view: RoundView) -> None:
        super().__init__(view)
        self.sizes = view.memory.get(JobSizes)
        self.history = view.memory.get(DisplacementHistory)
        self.history.forget(view.now_s)
        self.wait_s = math.inf
        self.reserved_gangs = 0

    def observe(self, waiting: Sequence[WaitingWork]) -> None:
        """Learns the sizes of new jobs."""
        self.sizes.observe(waiting)

    def candidates(self, work: WaitingWork) -> list[RunningWork]:
        """Returns the work that may give way, without what displaced or was displaced just now."""
        self.wait_s = math.inf
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
        candidates: StoppableWork,
        limits: Mapping[str, int] | None,
        fill_order: FillOrder | None,
    ) -> Generator[None, None, Displacement | None]:
        """Returns the cheapest displacement found, and notes when the work fits without one."""
        yield from self.view.index_running()
        demand, count = work.step.demand, len(work.indexes)
        on_group = self.view.running_by_end().on(group)
        fit = find_earliest_fit(group, demand, count, on_group, limits, fill_order=fill_order)
        if fit is not None:
            self.wait_s = min(self.wait_s, fit.remaining_s)
        yield
        search = PrunedSearch(work, group, candidates, limits, fill_order)
        return (yield from search.run())

    def is_worthwhile(self, work: WaitingWork, displacement: Displacement) -> bool:
        """Returns whether the work is guaranteed, or gains by a stop and its job justifies it.

        All that was stopped for the job counts.
        """
        graph_id = work.graph.graph.graph_id
        factor = max(1.0, self.sizes.worth_factor(graph_id))
        displacement.value = VALUE_SCALE * factor * job_value(work.priority)
        if work.is_guaranteed:
            return True
        spent = self.history.spent.get(graph_id, 0.0)
        return spent + displacement.cost < displacement.value and self._gains(work)

    def displaced(self, work: WaitingWork, displacement: Displacement) -> None:
        """Remembers the displacement."""
        self.history.record(work, displacement, self.view.now_s)

    def is_reserved_without_displacement(self, work: WaitingWork) -> bool:
        """Returns whether the work is one of the first gangs that neither fit nor displace."""
        if not work.step.is_gang or self.reserved_gangs >= MAX_RESERVED_GANGS:
            return False
        self.reserved_gangs += 1
        return True

    def compute_costs(self, victim: RunningWork) -> tuple[float, float]:
        """Returns the cost of stopping one work and the value that its job loses.

        The cost is higher for what displaced or was displaced just now.
        """
        stop_cost, lost_value = stop_costs(victim)
        stop_cost += job_value(victim.priority) * self.history.is_protected(victim)
        return stop_cost, lost_value

    def _gains(self, work: WaitingWork) -> bool:
        """Returns whether a start after a stop is worth clearly more than one without a stop.

        The wait for running work counts only for a gang for which that capacity is reserved; other
        work would take it before.
        """
        if not work.step.is_gang or self.reserved_gangs >= MAX_RESERVED_GANGS:
            return True
        now_s = self.view.now_s
        stopped_s = now_s + self.view.start_limits.displacement_s()
        gain = value_of_start(work, stopped_s)
        if math.isfinite(self.wait_s):
            gain -= value_of_start(work, max(stopped_s, now_s + self.wait_s))
        return gain >= LEAST_GAIN_SHARE * job_value(work.priority)
