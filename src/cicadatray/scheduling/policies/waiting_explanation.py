"""Explains why a job waits and what it needs in order to run."""

from cicadatray.scheduling.explanation import Explanation
from cicadatray.scheduling.job import Job, JobState
from cicadatray.scheduling.reservation_manager import ReservationManager
from cicadatray.scheduling.scheduling_state import SchedulingState
from cicadatray.scheduling.urgent_claims import UrgentClaims


def explain_waiting(
    job: Job,
    state: SchedulingState,
    claims: UrgentClaims,
    reservations: ReservationManager,
    now_s: float,
) -> Explanation:
    """Returns the first reason that applies, and the jobs that a reclaim would stop."""
    request = job.request
    job_id = request.job_id
    scope = request.shape.scope.value.replace("_", " ")
    needed = request.shape.accelerators
    if job.state is JobState.RECLAIMING:
        stopping = stopping_jobs(job, state)
        needs = f"the release of {', '.join(stopping)}" if stopping else "the next decision"
        reason = "its guaranteed capacity is being reclaimed"
        return Explanation(job_id, job.state.value, reason, needs, tuple(stopping))
    displaced = tuple(victim.request.job_id for victim in claims.would_displace(job, now_s))
    units = list(state.fleet.units(request.shape.scope))
    most_idle = max(units, key=lambda unit: (unit.idle, -unit.order), default=None)
    idle = most_idle.idle if most_idle is not None else 0
    if job.retry_not_before_s > now_s:
        reason = f"a task failed {len(job.failures)} times; the next attempt is delayed"
        needs = f"{job.retry_not_before_s - now_s:.0f} s to pass"
    elif job_id in reservations.by_job:
        workers = ", ".join(worker.key for worker in reservations.by_job[job_id].workers)
        reason = f"workers are reserved for it until enough accelerators are idle: {workers}"
        needs = f"{needed} idle accelerators on these workers"
    elif most_idle is None or idle < needed:
        reason = f"no {scope} has {needed} idle accelerators, the most are {idle}"
        location = f" in {most_idle.key}" if most_idle is not None else ""
        needs = f"{needed - idle} more idle accelerators{location}"
    else:
        reason = "client accounts that used less of their share are served first"
        needs = "the next decision"
    if request.urgent:
        reason += "; its account's guarantee has no capacity left, so it waits as an ordinary job"
    return Explanation(job_id, job.state.value, reason, needs, displaced)


def stopping_jobs(job: Job, state: SchedulingState) -> list[str]:
    """Returns the jobs that are being stopped on the workers claimed for a job."""
    shares = job.placement.shares if job.placement is not None else ()
    job_ids: dict[str, None] = {}
    for share in shares:
        for job_id, other in state.jobs_by_worker.get(share.worker_id, {}).items():
            if other.state is JobState.STOPPING:
                job_ids[job_id] = None
    return list(job_ids)
