"""Decisions of the scheduler that the control leader carries out."""

import msgspec

from cicadatray.scheduling.placement import Placement


class PlaceJob(msgspec.Struct, frozen=True):
    """Starts the whole gang at this placement."""

    job_id: str
    placement: Placement


class ReclaimJob(msgspec.Struct, frozen=True):
    """Checkpoints `job_id` if possible and stops it to free capacity for `beneficiary_id`."""

    job_id: str
    beneficiary_id: str


class MoveJob(msgspec.Struct, frozen=True):
    """Checkpoints and requeues a job, so that its accelerators join idle ones in the same unit."""

    job_id: str


class FailJob(msgspec.Struct, frozen=True):
    """Fails a job that cannot run; `reason` is shown to the caller."""

    job_id: str
    reason: str


Decision = PlaceJob | ReclaimJob | MoveJob | FailJob
