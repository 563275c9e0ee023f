"""The result of one run of an experiment."""

from cicadatray.internal.bench.graph_experiment.planned_job import PlannedJob
from cicadatray.scheduling.taskgraphs.job_value import CORE_SECONDS_PER_WORTH


class RunResult:
    """Sums over the jobs of a run.

    `late` jobs ended after their objective, `lost` ones too late to earn anything or not at all.
    `thrown_away` is the work in core-seconds that stopped and failed runs lost; `urgent_waits_s`
    are the times from arrival to the first start.
    """

    __slots__ = ("earned_worth", "late", "lost", "offered_worth", "thrown_away", "urgent_waits_s")

    def __init__(self) -> None:
        self.earned_worth = 0.0
        self.offered_worth = 0.0
        self.late = 0
        self.lost = 0
        self.thrown_away = 0.0
        self.urgent_waits_s: list[float] = []

    def count_job(self, job: PlannedJob, ended_s: float | None) -> None:
        """Counts a job that was not cancelled; `ended_s` is None for one that did not end."""
        self.offered_worth += job.kind.worth
        if ended_s is not None and ended_s <= job.arrival_s + job.objective_s():
            self.earned_worth += job.kind.worth
        elif ended_s is not None and ended_s <= job.worthless_after_s():
            self.earned_worth += job.kind.late_worth
            self.late += 1
        else:
            self.lost += 1

    def worth(self) -> float:
        """Returns the share of the worth that was earned, less the price of wasted work."""
        if not self.offered_worth:
            return 1.0
        return (self.earned_worth - self.thrown_away / CORE_SECONDS_PER_WORTH) / self.offered_worth
