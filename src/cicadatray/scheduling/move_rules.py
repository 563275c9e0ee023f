"""When a running job may be moved, and what that costs."""

from cicadatray.scheduling.job import Job, JobState

# A move costs its job the time to checkpoint, requeue and restart on all its accelerators, and more
# for a job that was stopped before, so that moves do not add up on one job.
MOVE_COST_S = 10.0
# A job runs for this multiple of the cost of a move before it is moved. With the cost growing by
# stops, a job spends at most one part in seven of its time on moves.
MIN_RUN_PER_MOVE_COST = 6.0


def move_cost_s(job: Job) -> float:
    """Returns the seconds of progress that a move costs the job."""
    return MOVE_COST_S * (1 + job.preemptions)


def may_be_moved(job: Job, now_s: float) -> bool:
    """Whether the job may be moved; one that was only just placed or still starts may not."""
    if job.state is not JobState.RUNNING or job.started_s is None:
        return False
    return now_s - job.started_s >= MIN_RUN_PER_MOVE_COST * move_cost_s(job)
