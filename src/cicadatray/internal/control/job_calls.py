"""Handlers of calls about jobs."""

import asyncio
from typing import TYPE_CHECKING

import msgspec

from cicadatray.internal.control.handler_registry import register_handler
from cicadatray.internal.control.job_entry import JobEntry
from cicadatray.internal.control.job_state import JOB_UNKNOWN_CODE, KEY_REUSED_CODE
from cicadatray.internal.wire.message import Failure, MessageStruct
from cicadatray.internal.wire.messages.job_messages import (
    FINAL_JOB_STATES,
    CancelJob,
    ExplainJob,
    ExplanationReply,
    JobsReply,
    ReadJob,
    ReadJobs,
    SubmitJob,
)
from cicadatray.scheduling.admission import Admission

if TYPE_CHECKING:
    from cicadatray.internal.control.control_daemon import ControlDaemon


JOB_IMPOSSIBLE_CODE = "job_impossible"
WAIT_LIMIT_S = 30.0
WAIT_POLL_INTERVAL_S = 0.1


@register_handler(SubmitJob)
async def submit_job(daemon: "ControlDaemon", call: SubmitJob) -> MessageStruct:
    """Commits a job, or refuses one that can never run.

    A repeated submission returns the existing job; another job under the same key is refused.
    """
    session = await daemon.require_leader_session()
    existing = daemon.state.jobs.get(call.request.job_id)
    if existing is not None:
        if existing.digest == call.digest:
            return existing.view()
        return Failure(code=KEY_REUSED_CODE, detail="this key was used for another job")
    now_s = session.scheduling_time_s()
    request = msgspec.structs.replace(call.request, submitted_s=now_s)
    admission = session.scheduler.check_admission(request)
    if not admission.accepted:
        return Failure(code=JOB_IMPOSSIBLE_CODE, detail=_refusal_detail(admission))
    return await session.propose(msgspec.structs.replace(call, request=request))


def _refusal_detail(admission: Admission) -> str:
    largest = admission.largest_shape
    if largest is None:
        return admission.reason
    size = f"{largest.accelerators} accelerators in one {largest.scope.value}"
    return f"{admission.reason}; the largest possible job has {size}"


@register_handler(CancelJob)
async def cancel_job(daemon: "ControlDaemon", call: CancelJob) -> MessageStruct:
    """Proposes the cancellation of a job."""
    session = await daemon.require_leader_session()
    return await session.propose(call)


@register_handler(ReadJob)
async def read_job(daemon: "ControlDaemon", call: ReadJob) -> MessageStruct:
    """Returns a job, once it has ended or the caller's `wait_s` has passed."""
    session = await daemon.require_leader_session()
    deadline_s = session.now_s() + min(call.wait_s, WAIT_LIMIT_S)
    while True:
        entry = _find(daemon, call.job_id, call.client_account)
        if entry is None:
            return Failure(code=JOB_UNKNOWN_CODE, detail="no such job")
        if entry.state in FINAL_JOB_STATES or session.now_s() >= deadline_s:
            await daemon.require_leader_session()
            return entry.view()
        await asyncio.sleep(WAIT_POLL_INTERVAL_S)


@register_handler(ReadJobs)
async def read_jobs(daemon: "ControlDaemon", call: ReadJobs) -> MessageStruct:
    """Returns all jobs of a client account."""
    await daemon.require_leader_session()
    entries = daemon.state.jobs.values()
    own = [entry.view() for entry in entries if entry.request.client_account == call.client_account]
    return JobsReply(jobs=tuple(own))


@register_handler(ExplainJob)
async def explain_job(daemon: "ControlDaemon", call: ExplainJob) -> MessageStruct:
    """Returns why a job waits or runs."""
    session = await daemon.require_leader_session()
    entry = _find(daemon, call.job_id, call.client_account)
    if entry is None:
        return Failure(code=JOB_UNKNOWN_CODE, detail="no such job")
    if entry.state in FINAL_JOB_STATES:
        return ExplanationReply(
            job_id=call.job_id,
            state=entry.state.value,
            reason=entry.reason,
            needs="",
            would_displace=(),
        )
    explanation = session.scheduler.explain(call.job_id, session.scheduling_time_s())
    return ExplanationReply(
        job_id=call.job_id,
        state=entry.state.value,
        reason=explanation.reason,
        needs=explanation.needs,
        would_displace=explanation.would_displace,
    )


def _find(daemon: "ControlDaemon", job_id: str, client_account: str) -> JobEntry | None:
    entry = daemon.state.jobs.get(job_id)
    if entry is None or entry.request.client_account != client_account:
        return None
    return entry
