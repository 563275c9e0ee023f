"""What one run of an experiment came to."""

from cicadatray.internal.bench.graph_experiment.planned_job import PlannedJob
from cicadatray.scheduling.taskgraphs.job_value import CORE_SECONDS_PER_WORTH


class RunResult:
    """`thrown_away` is in core-seconds; `urgent_waits_s` from arrival to start."""

    __slots__ = ("earned", "late", "lost", "owed", "thrown_away", "urgent_waits_s")

    def __init__(self) -> None:
        self.earned = 0.0
        self.owed = 0.0
        self.late = 0
        self.lost = 0
        self.thrown_away = 0.0
        self.urgent_waits_s: list[float] = []

    def count(self, job: PlannedJob, ended_s: float | None) -> None:
        """Counts a job that nobody cancelled; None stands for one that did not end."""
        self.owed += job.kind.worth
        if ended_s is not None and ended_s <= job.arrival_s + job.objective_s():
            self.earned += job.kind.worth
        elif ended_s is not None and ended_s <= job.worthless_s():
            self.earned += job.kind.late_worth
            self.late += 1
        else:
            self.lost += 1

    def worth(self) -> float:
        """Returns the share of the worth that was earned, less the price of wasted work."""
        if not self.owed:
            return 1.0
        return (self.earned - self.thrown_away / CORE_SECONDS_PER_WORTH) / self.owed
