"""Workers kept for one job that has waited long."""

from math import inf

from cicadatray.scheduling.job import Job
from cicadatray.scheduling.unit import Unit


class Fence:
    """The workers together have room for the job.

    `backfilled` holds checkpointable jobs that run inside the fence in the meantime. It is
    dropped at `until_s` at the latest.
    """

    __slots__ = ("backfilled", "job", "until_s", "workers")

    def __init__(self, job: Job, workers: list[Unit], until_s: float = inf) -> None:
        self.job = job
        self.workers = workers
        self.until_s = until_s
        self.backfilled: dict[str, Job] = {}
