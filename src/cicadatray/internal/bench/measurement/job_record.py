"""The progress of one job in a run."""

from enum import Enum

from cicadatray.internal.bench.measurement.job_plan import JobPlan


class JobEnding(Enum):
    """How a job ended."""

    COMPLETED = "completed"
    CANCELLED = "cancelled"
    FAILED = "failed"
    REFUSED = "refused"
    ABANDONED = "abandoned"


class JobRecord:
    """Records the progress and waiting time of a job.

    `claimed_block` is the guaranteed block that an urgent job claims. `disturbed` marks a claim
    that a lost or failing worker or a change of leader affected, which the reclaim target does not
    cover.
    """

    __slots__ = (
        "claimed_block",
        "disturbed",
        "ended_s",
        "ending",
        "plan",
        "placements",
        "remaining_s",
        "started_s",
        "waited_s",
        "waiting_since_s",
    )

    def __init__(self, plan: JobPlan) -> None:
        self.plan = plan
        self.remaining_s = plan.run_s
        self.placements = 0
        self.started_s: float | None = None
        self.ended_s: float | None = None
        self.ending: JobEnding | None = None
        self.waited_s = 0.0
        self.waiting_since_s: float | None = plan.request.submitted_s
        self.claimed_block: int | None = None
        self.disturbed = False

    def end(self, ending: JobEnding, now_s: float) -> None:
        """Records the end; only the first one counts."""
        if self.ending is None:
            self.stop_waiting(now_s)
            self.ending = ending
            self.ended_s = now_s

    def start_waiting(self, now_s: float) -> None:
        """Starts the waiting time: the job waits for capacity from now on."""
        self.waiting_since_s = now_s

    def stop_waiting(self, now_s: float) -> None:
        """Ends the waiting time: the job holds capacity, or has ended."""
        if self.waiting_since_s is not None:
            self.waited_s += now_s - self.waiting_since_s
        self.waiting_since_s = None
