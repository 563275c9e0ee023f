"""Where waiting work fits within one placement round."""

from collections import Counter
from collections.abc import Mapping

from cicadatray.scheduling.taskgraphs.earliest_fit import EarliestFit, find_earliest_fit
from cicadatray.scheduling.taskgraphs.graph_index import NO_WORKERS
from cicadatray.scheduling.taskgraphs.rules.candidate_rule import CandidateRule
from cicadatray.scheduling.taskgraphs.rules.round_view import RoundView
from cicadatray.scheduling.taskgraphs.task_fit import AvailableResources, fit_tasks
from cicadatray.scheduling.taskgraphs.waiting_work import WaitingWork
from cicadatray.scheduling.taskgraphs.worker_capacity import WorkerCapacity
from cicadatray.scheduling.taskgraphs.worker_limits import remaining_limits


class FitSearch:
    """Fits work on groups of workers, now or once running work has ended.

    `assigned` counts the tasks that the round has assigned to each worker, for each step
    with a limit per worker.
    """

    __slots__ = ("assigned", "candidates", "view")

    def __init__(self, view: RoundView, candidates: CandidateRule) -> None:
        self.view = view
        self.candidates = candidates
        self.assigned: dict[tuple[str, int, int], Counter[str]] = {}

    def limits(self, work: WaitingWork, group: list[WorkerCapacity]) -> dict[str, int] | None:
        """Returns how many more tasks of the step each worker may take, or None without a limit."""
        return remaining_limits(work, group, self.assigned.get(work.step_key, NO_WORKERS))

    def record_assignment(self, work: WaitingWork, worker_id: str) -> None:
        """Records that a task of the work was assigned to a worker."""
        if work.step.max_per_worker:
            self.assigned.setdefault(work.step_key, Counter())[worker_id] += 1

    def fit(
        self,
        work: WaitingWork,
        group: list[WorkerCapacity],
        available_of: AvailableResources,
        limits: Mapping[str, int] | None,
    ) -> list[WorkerCapacity] | None:
        """Returns one worker for each task of the work, or None if not all tasks fit."""
        fill_order = self.candidates.fill_order(work)
        count = len(work.indexes)
        return fit_tasks(group, work.step.demand, count, available_of, limits, fill_order)

    def earliest_in_any(
        self, work: WaitingWork, groups: list[list[WorkerCapacity]], must_be_idle: bool = False
    ) -> EarliestFit | None:
        """Returns the earliest fit in any of the groups, or None if the work never fits."""
        earliest: EarliestFit | None = None
        for group in groups:
            unreserved = [worker for worker in group if not worker.is_reserved]
            fit = self.earliest(work, unreserved, must_be_idle)
            if fit is not None and (earliest is None or fit.remaining_s < earliest.remaining_s):
                earliest = fit
        return earliest

    def earliest(
        self, work: WaitingWork, group: list[WorkerCapacity], must_be_idle: bool = False
    ) -> EarliestFit | None:
        """Returns the earliest fit after running work has ended, or None if the work never fits."""
        limits = self.limits(work, group)
        return find_earliest_fit(
            group,
            work.step.demand,
            len(work.indexes),
            self.view.running_by_end().on(group),
            limits,
            must_be_idle,
            self.candidates.fill_order(work),
        )
