"""Calls of entries about jobs."""

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
WAIT_STEP_S = 0.1


@register_handler(SubmitJob)
async def submit_job(daemon: "ControlDaemon", call: SubmitJob) -> MessageStruct:
    """Accepts a job once it is durable; what can never run is refused at once."""
    session = await daemon.require_leader_session()
    known = daemon.state.jobs.get(call.request.job_id)
    if known is not None:
        if known.digest == call.digest:
            return known.view()
        return Failure(code=KEY_REUSED_CODE, detail="this key was used for another job")
    now_s = session.scheduling_time_s()
    request = msgspec.structs.replace(call.request, submitted_s=now_s)
    admission = session.scheduler.check_admission(request)
    if not admission.accepted:
        return Failure(code=JOB_IMPOSSIBLE_CODE, detail=_refusal(admission))
    return await session.propose(msgspec.structs.replace(call, request=request))


def _refusal(admission: Admission) -> str:
    largest = admission.largest_shape
    if largest is None:
        return admission.reason
    size = f"{largest.accelerators} accelerators in one {largest.scope.value}"
    return f"{admission.reason}; the largest possible job has {size}"


@register_handler(CancelJob)
async def cancel_job(daemon: "ControlDaemon", call: CancelJob) -> MessageStruct:
    """Cancels a job."""
    session = await daemon.require_leader_session()
    return await session.propose(call)


@register_handler(ReadJob)
async def read_job(daemon: "ControlDaemon", call: ReadJob) -> MessageStruct:
    """Answers with the job, after it has ended if the caller waits for that."""
    session = await daemon.require_leader_session()
    deadline_s = session.now_s() + min(call.wait_s, WAIT_LIMIT_S)
    while True:
        entry = _find(daemon, call.job_id, call.client_account)
        if entry is None:
            return Failure(code=JOB_UNKNOWN_CODE, detail="no such job")
        if entry.state in FINAL_JOB_STATES or session.now_s() >= deadline_s:
            await daemon.require_leader_session()
            return entry.view()
        await asyncio.sleep(WAIT_STEP_S)


@register_handler(ReadJobs)
async def read_jobs(daemon: "ControlDaemon", call: ReadJobs) -> MessageStruct:
    """Answers with all jobs of a client account."""
    await daemon.require_leader_session()
    entries = daemon.state.jobs.values()
    own = [entry.view() for entry in entries if entry.request.client_account == call.client_account]
    return JobsReply(jobs=tuple(own))


@register_handler(ExplainJob)
async def explain_job(daemon: "ControlDaemon", call: ExplainJob) -> MessageStruct:
    """Answers why the job waits or runs."""
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
