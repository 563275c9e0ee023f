"""Victims that cost the least core-seconds."""

from collections.abc import Generator, Mapping, Sequence

from cicadatray.scheduling.taskgraphs.displacement import Displacement
from cicadatray.scheduling.taskgraphs.displacement_search import DisplacementSearch
from cicadatray.scheduling.taskgraphs.job_value import job_value
from cicadatray.scheduling.taskgraphs.rules.victim_rule import VictimRule, victim_rules
from cicadatray.scheduling.taskgraphs.running_work import RunningWork
from cicadatray.scheduling.taskgraphs.stoppable_work import StoppableWork
from cicadatray.scheduling.taskgraphs.task_fit import FillOrder
from cicadatray.scheduling.taskgraphs.waiting_work import WaitingWork
from cicadatray.scheduling.taskgraphs.worker_capacity import WorkerCapacity


@victim_rules.register("cheapest")
class CheapestVictims(VictimRule):
    """Displaces the cheapest work; beyond a guarantee only what costs less than the job's value."""

    __slots__ = ()

    def candidates(self, work: WaitingWork) -> list[RunningWork]:
        """Returns the work of lower priority, and that beyond guarantees for a guaranteed job."""
        return [
            running
            for running in self.view.running
            if running.can_be_displaced_by(work.priority, work.is_guaranteed)
        ]

    def find(
        self,
        work: WaitingWork,
        group: Sequence[WorkerCapacity],
        candidates: StoppableWork,
        limits: Mapping[str, int] | None,
        fill_order: FillOrder | None,
    ) -> Generator[None, None, Displacement | None]:
        """Returns a cheap displacement, or None when no displacement frees enough capacity."""
        search = DisplacementSearch(work, group, candidates, limits, fill_order)
        return (yield from search.run())

    def is_worthwhile(self, work: WaitingWork, displacement: Displacement) -> bool:
        """Returns whether the work is guaranteed or worth more than what it stops."""
        displacement.value = job_value(work.priority)
        return work.is_guaranteed or displacement.cost < displacement.value
