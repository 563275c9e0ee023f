"""The result of one run of an experiment."""

from collections import defaultdict

from cicadatray.internal.bench.graph_experiment.planned_job import PlannedJob
from cicadatray.scheduling.taskgraphs.job_value import CORE_SECONDS_PER_WORTH


class RunResult:
    """Sums over the jobs of a run.

    `late` jobs ended after their objective, `lost` ones too late to earn anything or not at all.
    `thrown_away` is the work in core-seconds that stopped and failed runs lost, also by kind and
    cause in `thrown_away_by`. `late_by` counts late jobs by kind, and `offered_by_account` and
    `earned_by_account` hold the worth by account. `missed_by` holds the worth that was offered and
    not earned, by kind.
    `urgent_waits_s` are the times from arrival to the first start, `guaranteed_waits_s` those of
    work that was within a guarantee at its start. `core_seconds_per_worth` is the price of wasted
    work.
    """

    __slots__ = (
        "core_seconds_per_worth",
        "earned_worth",
        "guaranteed_waits_s",
        "late",
        "lost",
        "missed_by",
        "offered_by_account",
        "earned_by_account",
        "late_by",
        "offered_worth",
        "thrown_away",
        "thrown_away_by",
        "urgent_waits_s",
    )

    def __init__(self, core_seconds_per_worth: float = CORE_SECONDS_PER_WORTH) -> None:
        self.core_seconds_per_worth = core_seconds_per_worth
        self.earned_worth = 0.0
        self.offered_worth = 0.0
        self.late = 0
        self.lost = 0
        self.thrown_away = 0.0
        self.thrown_away_by: defaultdict[tuple[str, str], float] = defaultdict(float)
        self.missed_by: defaultdict[str, float] = defaultdict(float)
        self.late_by: defaultdict[str, int] = defaultdict(int)
        self.offered_by_account: defaultdict[str, float] = defaultdict(float)
        self.earned_by_account: defaultdict[str, float] = defaultdict(float)
        self.urgent_waits_s: list[float] = []
        self.guaranteed_waits_s: list[float] = []

    def count_waste(self, kind: str, cause: str, core_seconds: float) -> None:
        """Counts the work that the end of a run has lost."""
        self.thrown_away += core_seconds
        self.thrown_away_by[kind, cause] += core_seconds

    def count_job(self, job: PlannedJob, ended_s: float | None) -> None:
        """Counts a job that was not cancelled; `ended_s` is None for one that did not end."""
        offered = job.kind.worth * job.worth_factor
        earned = 0.0
        if ended_s is not None and ended_s <= job.arrival_s + job.objective_s():
            earned = offered
        elif ended_s is not None and ended_s <= job.worthless_after_s():
            earned = job.kind.late_worth * job.worth_factor
            self.late += 1
            self.late_by[job.kind.name] += 1
        else:
            self.lost += 1
        account = job.graph.client_account
        self.offered_by_account[account] += offered
        self.earned_by_account[account] += earned
        self.offered_worth += offered
        self.earned_worth += earned
        self.missed_by[job.kind.name] += offered - earned

    def worst_account_share(self) -> float:
        """Returns the lowest share of its offered worth that an account has earned."""
        return min(
            (
                self.earned_by_account[account] / offered
                for account, offered in self.offered_by_account.items()
            ),
            default=1.0,
        )

    def displaced_work(self) -> float:
        """Returns the core-seconds that displaced runs have lost."""
        return sum(work for (_, cause), work in self.thrown_away_by.items() if cause == "displaced")

    def worth(self) -> float:
        """Returns the share of the worth that was earned, less the price of wasted work."""
        if not self.offered_worth:
            return 1.0
        price = self.thrown_away / self.core_seconds_per_worth
        return (self.earned_worth - price) / self.offered_worth
