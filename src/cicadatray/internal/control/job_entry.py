"""A job in the replicated state."""

import msgspec

from cicadatray.internal.wire.messages.job_messages import GangRecord, JobState, JobView
from cicadatray.scheduling.job_request import JobRequest


class JobEntry(msgspec.Struct):
    """Stores one job.

    `epoch` is that of the last gang; `gang` is None while the job holds no capacity.
    """

    request: JobRequest
    payload: str
    digest: bytes
    trace_id: str
    state: JobState = JobState.WAITING
    epoch: int = 0
    reason: str = ""
    gang: GangRecord | None = None

    def view(self) -> JobView:
        """Returns the job as callers see it."""
        return JobView(
            request=self.request,
            state=self.state,
            epoch=self.epoch,
            reason=self.reason,
            placement=self.gang.placement if self.gang else None,
        )
