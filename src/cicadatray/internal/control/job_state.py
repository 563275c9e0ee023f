"""Applies commands about jobs and gangs to the replicated state."""

import msgspec

from cicadatray.internal.control.command_registry import register_applier
from cicadatray.internal.control.control_state import ControlState
from cicadatray.internal.control.job_entry import JobEntry
from cicadatray.internal.control.job_lifecycle import (
    CANCEL,
    COMPLETE,
    FAIL,
    PLACE,
    REQUEUE,
    START,
    STOP,
    next_state,
)
from cicadatray.internal.wire.message import Failure, MessageStruct
from cicadatray.internal.wire.messages.job_messages import (
    FINAL_JOB_STATES,
    CancelJob,
    FailWaitingJob,
    GangRecord,
    PlaceGang,
    ReleaseGang,
    StartGang,
    StopGang,
    SubmitJob,
)
from cicadatray.scheduling.gang_outcome import GangOutcome

# One day at the design load of 20,000 jobs a day, so that a repeated submission finds its job.
ENDED_JOB_LIMIT = 20_000
JOB_UNKNOWN_CODE = "job_unknown"
KEY_REUSED_CODE = "key_reused"
STALE_EPOCH_CODE = "stale_epoch"

RELEASE_TRIGGERS = {
    GangOutcome.COMPLETED: COMPLETE,
    GangOutcome.FAILED: FAIL,
    GangOutcome.CANCELLED: CANCEL,
    GangOutcome.CHECKPOINTED: REQUEUE,
    GangOutcome.STOPPED: REQUEUE,
    GangOutcome.WORKER_LOST: REQUEUE,
}


@register_applier(SubmitJob)
def submit_job(state: ControlState, index: int, command: SubmitJob) -> MessageStruct:
    """Accepts a job once; a repeated submission returns the existing job."""
    existing = state.jobs.get(command.request.job_id)
    if existing is not None:
        if existing.digest != command.digest:
            return Failure(code=KEY_REUSED_CODE, detail="this key was used for another job")
        return existing.view()
    entry = JobEntry(command.request, command.payload, command.digest, command.trace_id)
    state.jobs[command.request.job_id] = entry
    return entry.view()


@register_applier(CancelJob)
def cancel_job(state: ControlState, index: int, command: CancelJob) -> MessageStruct:
    """Cancels a job; one that holds capacity ends when its gang is released."""
    entry = state.jobs.get(command.job_id)
    if entry is None or entry.request.client_account != command.client_account:
        return Failure(code=JOB_UNKNOWN_CODE, detail="no such job")
    if entry.gang is None:
        _apply_trigger(state, entry, CANCEL, "cancelled by its caller")
    elif entry.gang.outcome is None or entry.gang.outcome is not GangOutcome.CANCELLED:
        entry.gang = msgspec.structs.replace(entry.gang, outcome=GangOutcome.CANCELLED)
        _apply_trigger(state, entry, STOP, "cancelled by its caller")
    return entry.view()


@register_applier(PlaceGang)
def place_gang(state: ControlState, index: int, command: PlaceGang) -> MessageStruct:
    """Assigns capacity to a job.

    A repeated command changes nothing, because the epoch must be the next one of the job.
    """
    entry = state.jobs.get(command.job_id)
    if entry is None or command.epoch != entry.epoch + 1:
        return Failure(code=STALE_EPOCH_CODE, detail="the job is not at this epoch")
    if not _apply_trigger(state, entry, PLACE, ""):
        return Failure(code=STALE_EPOCH_CODE, detail=f"the job is {entry.state.value}")
    entry.epoch = command.epoch
    entry.gang = GangRecord(command.epoch, command.placement)
    return entry.view()


@register_applier(StartGang)
def start_gang(state: ControlState, index: int, command: StartGang) -> MessageStruct:
    """Records that a gang starts, unless it is being stopped."""
    entry = state.jobs.get(command.job_id)
    if entry is None or entry.gang is None or entry.gang.epoch != command.epoch:
        return Failure(code=STALE_EPOCH_CODE, detail="the gang has been released")
    if not _apply_trigger(state, entry, START, ""):
        return Failure(code=STALE_EPOCH_CODE, detail=f"the job is {entry.state.value}")
    return entry.view()


@register_applier(StopGang)
def stop_gang(state: ControlState, index: int, command: StopGang) -> MessageStruct:
    """Records that a gang is being stopped; the first outcome stays, unless the caller cancels."""
    entry = state.jobs.get(command.job_id)
    if entry is None or entry.gang is None or entry.gang.epoch != command.epoch:
        return Failure(code=STALE_EPOCH_CODE, detail="the gang has been released")
    if entry.gang.outcome is None:
        entry.gang = msgspec.structs.replace(entry.gang, outcome=command.outcome)
        _apply_trigger(state, entry, STOP, command.reason)
    return entry.view()


@register_applier(ReleaseGang)
def release_gang(state: ControlState, index: int, command: ReleaseGang) -> MessageStruct:
    """Frees the capacity of a gang. The outcome of a recorded stop takes precedence."""
    entry = state.jobs.get(command.job_id)
    if entry is None or entry.gang is None or entry.gang.epoch != command.epoch:
        return Failure(code=STALE_EPOCH_CODE, detail="the gang has been released")
    outcome = entry.gang.outcome or command.outcome
    entry.gang = None
    _apply_trigger(state, entry, RELEASE_TRIGGERS[outcome], command.reason or entry.reason)
    return entry.view()


@register_applier(FailWaitingJob)
def fail_waiting_job(state: ControlState, index: int, command: FailWaitingJob) -> MessageStruct:
    """Fails a waiting job that can never run."""
    entry = state.jobs.get(command.job_id)
    if entry is None or entry.gang is not None:
        return Failure(code=STALE_EPOCH_CODE, detail="the job is not waiting")
    _apply_trigger(state, entry, FAIL, command.reason)
    return entry.view()


def _apply_trigger(state: ControlState, entry: JobEntry, trigger: str, reason: str) -> bool:
    target = next_state(entry.state, trigger)
    if target is None:
        return False
    entry.state = target
    entry.reason = reason
    if target in FINAL_JOB_STATES:
        state.ended_jobs.append(entry.request.job_id)
    while len(state.ended_jobs) > ENDED_JOB_LIMIT:
        state.jobs.pop(state.ended_jobs.pop(0), None)
    return True
