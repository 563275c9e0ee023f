"""Conditions and costs of moving a running job."""

from cicadatray.scheduling.job import Job, JobState

# A move costs the job the time to checkpoint, requeue and restart on all its accelerators. The cost
# grows with earlier preemptions, so that the same job is not moved again and again.
MOVE_COST_S = 10.0
# A job runs for at least this multiple of the cost of a move before it is moved. Since the cost
# grows with preemptions, a job spends at most one seventh of its time on moves.
MIN_RUN_PER_MOVE_COST = 6.0


def move_cost_s(job: Job) -> float:
    """Returns the seconds of progress that a move costs the job."""
    return MOVE_COST_S * (1 + job.preemptions)


def may_be_moved(job: Job, now_s: float) -> bool:
    """Returns whether the job has run long enough to be moved; a starting job may not be."""
    if job.state is not JobState.RUNNING or job.started_s is None:
        return False
    return now_s - job.started_s >= MIN_RUN_PER_MOVE_COST * move_cost_s(job)
