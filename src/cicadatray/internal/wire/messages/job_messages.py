"""Messages about jobs and the gangs that run them."""

from enum import Enum
from typing import ClassVar

import msgspec

from cicadatray.internal.wire.message import MessageStruct
from cicadatray.scheduling.gang_outcome import GangOutcome
from cicadatray.scheduling.job_request import JobRequest
from cicadatray.scheduling.placement import Placement


class JobState(Enum):
    """The states in the life cycle of a job."""

    WAITING = "waiting"
    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_JOB_STATES = frozenset({JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED})


class JobView(MessageStruct, frozen=True):
    """A job as callers see it."""

    request: JobRequest
    state: JobState
    epoch: int = 0
    reason: str = ""
    placement: Placement | None = None


class SubmitJob(MessageStruct, frozen=True):
    """Submits a job; a repeated submission returns the existing job. The reply is a `JobView`."""

    request: JobRequest
    payload: str
    digest: bytes
    trace_id: str = ""


class CancelJob(MessageStruct, frozen=True):
    """Cancels a job of this client account. The reply is a `JobView`."""

    job_id: str
    client_account: str


class PlaceGang(MessageStruct, frozen=True):
    """Assigns capacity to a waiting job; `epoch` is one higher than the job's last one."""

    job_id: str
    epoch: int
    placement: Placement


class StartGang(MessageStruct, frozen=True):
    """Records the decision to start a prepared gang."""

    job_id: str
    epoch: int


class StopGang(MessageStruct, frozen=True):
    """Records the decision to stop a gang, and its outcome."""

    job_id: str
    epoch: int
    outcome: GangOutcome
    reason: str = ""


class ReleaseGang(MessageStruct, frozen=True):
    """Frees the capacity of a gang whose members have stopped or whose leases have expired."""

    job_id: str
    epoch: int
    outcome: GangOutcome
    reason: str = ""


class FailWaitingJob(MessageStruct, frozen=True):
    """Fails a waiting job that can never run."""

    job_id: str
    reason: str


class ReadJob(MessageStruct, frozen=True):
    """Asks for one job; the reply is delayed until it has ended, by at most `wait_s`."""

    changes_state: ClassVar[bool] = False

    job_id: str
    client_account: str
    wait_s: float = 0.0


class ReadJobs(MessageStruct, frozen=True):
    """Asks for all jobs of a client account."""

    changes_state: ClassVar[bool] = False

    client_account: str


class JobsReply(MessageStruct, frozen=True):
    """Reply to `ReadJobs`."""

    jobs: tuple[JobView, ...]


class ExplainJob(MessageStruct, frozen=True):
    """Asks for the reason why a job waits or runs where it does."""

    changes_state: ClassVar[bool] = False

    job_id: str
    client_account: str


class ExplanationReply(MessageStruct, frozen=True):
    """Reply to `ExplainJob`."""

    job_id: str
    state: str
    reason: str
    needs: str
    would_displace: tuple[str, ...]


class GangRecord(msgspec.Struct, frozen=True):
    """The capacity that a job holds."""

    epoch: int
    placement: Placement
    outcome: GangOutcome | None = None
