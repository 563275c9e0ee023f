"""The state of a job in the scheduler."""

from enum import Enum

from cicadatray.scheduling.job_request import JobRequest
from cicadatray.scheduling.placement import Placement


class JobState(Enum):
    """States of a job between its submission and its end."""

    WAITING = "waiting"
    RECLAIMING = "reclaiming"
    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


class Job:
    """A job with its current placement; `sequence` orders jobs by arrival.

    `failures` lists, for each attempt in which a task failed, the workers on which it failed.
    `retry_not_before_s` is the earliest time of the next attempt. `failed_clearings` counts the
    abandoned attempts to clear workers for the job; the next one starts at
    `clearing_not_before_s` at the earliest. `preemptions` counts the runs that were stopped in
    favour of other jobs. `is_charged` is set while the job counts against its account's share.
    """

    __slots__ = (
        "cancelled",
        "clearing_not_before_s",
        "earlier_waits_s",
        "failed_clearings",
        "failures",
        "is_charged",
        "placed_s",
        "placement",
        "preemptions",
        "request",
        "retry_not_before_s",
        "sequence",
        "started_s",
        "state",
        "task_failed",
        "unreachable",
        "waiting_since_s",
    )

    def __init__(self, request: JobRequest, sequence: int) -> None:
        self.request = request
        self.sequence = sequence
        self.state = JobState.WAITING
        self.placement: Placement | None = None
        self.placed_s = 0.0
        self.started_s: float | None = None
        self.cancelled = False
        self.task_failed = False
        self.is_charged = False
        self.unreachable = False
        self.preemptions = 0
        self.failed_clearings = 0
        self.clearing_not_before_s = 0.0
        self.retry_not_before_s = 0.0
        self.earlier_waits_s = 0.0
        self.waiting_since_s = request.submitted_s
        self.failures: list[list[str]] = []

    @property
    def holds_capacity(self) -> bool:
        """Returns whether accelerators are allocated to the job."""
        return self.state in (JobState.STARTING, JobState.RUNNING, JobState.STOPPING)

    @property
    def is_active(self) -> bool:
        """Returns whether the job holds capacity and is not being stopped."""
        return self.state in (JobState.STARTING, JobState.RUNNING)

    @property
    def failed_workers(self) -> set[str]:
        """Returns the workers on which a task of this job has failed."""
        return {worker_id for attempt in self.failures for worker_id in attempt}

    def waited_s(self, now_s: float) -> float:
        """Returns the total time that a waiting job has spent in the queue."""
        return self.earlier_waits_s + now_s - self.waiting_since_s

    def uses(self, worker_id: str) -> bool:
        """Returns whether the job's placement has a share on this worker."""
        if self.placement is None:
            return False
        return any(share.worker_id == worker_id for share in self.placement.shares)
