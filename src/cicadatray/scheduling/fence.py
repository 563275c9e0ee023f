"""Workers kept for one job that has waited long."""

from cicadatray.scheduling.job import Job
from cicadatray.scheduling.unit import Unit


class Fence:
    """The workers together have room for the job; `expected_s` is when they should be idle.

    `backfilled` holds checkpointable jobs that run inside the fence in the meantime.
    """

    __slots__ = ("backfilled", "expected_s", "job", "workers")

    def __init__(self, job: Job, workers: list[Unit], expected_s: float) -> None:
        self.job = job
        self.workers = workers
        self.expected_s = expected_s
        self.backfilled: dict[str, Job] = {}
