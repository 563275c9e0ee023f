"""What the scheduler wants the control leader to do."""

import msgspec

from cicadatray.scheduling.placement import Placement


class PlaceJob(msgspec.Struct, frozen=True):
    """Start the whole gang at this placement."""

    job_id: str
    placement: Placement


class ReclaimJob(msgspec.Struct, frozen=True):
    """Checkpoint if possible, then stop `job_id` to make room for `beneficiary_id`."""

    job_id: str
    beneficiary_id: str


class MoveJob(msgspec.Struct, frozen=True):
    """Checkpoint and requeue a job, so that its blocks join their idle neighbours."""

    job_id: str


class FailJob(msgspec.Struct, frozen=True):
    """The job cannot run; `reason` is meant for its caller."""

    job_id: str
    reason: str


Decision = PlaceJob | ReclaimJob | MoveJob | FailJob
