"""What one run of an experiment came to."""

from cicadatray.internal.bench.graph_experiment.planned_job import PlannedJob

# A job that takes up to this many times its objective is late, and lost after that.
LATE_LIMIT = 3.0
# What a core-second of wasted work costs, in the worth of jobs over the worth owed to callers.
PRICE_PER_CORE_SECOND = 1 / 435.0


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
        taken_s = float("inf") if ended_s is None else ended_s - job.arrival_s
        if taken_s <= job.objective_s():
            self.earned += job.kind.worth
        elif taken_s <= LATE_LIMIT * job.objective_s():
            self.earned += job.kind.late_worth
            self.late += 1
        else:
            self.lost += 1

    def worth(self) -> float:
        """Returns the share of the worth that was earned, less the price of wasted work."""
        if not self.owed:
            return 1.0
        return (self.earned - self.thrown_away * PRICE_PER_CORE_SECOND) / self.owed
