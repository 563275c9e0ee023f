"""Workers kept for one job that has waited long."""

from cicadatray.scheduling.job import Job
from cicadatray.scheduling.unit import Unit


class Fence:
    """The workers together have room for the job.

    `backfilled` holds checkpointable jobs that run inside the fence in the meantime. From
    `clearing_since_s` on the fence waits only for jobs that were told to stop, and takes no other.
    """

    __slots__ = ("backfilled", "clearing_since_s", "job", "workers")

    def __init__(
        self, job: Job, workers: list[Unit], clearing_since_s: float | None = None
    ) -> None:
        self.job = job
        self.workers = workers
        self.clearing_since_s = clearing_since_s
        self.backfilled: dict[str, Job] = {}
