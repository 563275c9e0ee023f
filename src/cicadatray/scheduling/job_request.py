"""A job as its caller submitted it."""

import msgspec

from cicadatray.scheduling.shape import Shape


class JobRequest(msgspec.Struct, frozen=True):
    """A gang job.

    `declared_run_s` is the caller's estimate and often far off. `urgent` claims the account's
    guarantee. `submitted_s` orders jobs that are otherwise equal.
    """

    job_id: str
    client_account: str
    shape: Shape
    declared_run_s: float
    checkpointable: bool
    urgent: bool
    submitted_s: float
