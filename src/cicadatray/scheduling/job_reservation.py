"""A reservation of workers for one waiting job."""

from cicadatray.scheduling.job import Job
from cicadatray.scheduling.unit import Unit


class JobReservation:
    """Reserves workers that together have capacity for the job.

    `backfilled` holds the checkpointable jobs that run on these workers in the meantime. Once
    `clearing_since_s` is set, the reservation only waits for jobs that are being stopped, and no
    further job is backfilled.
    """

    __slots__ = ("backfilled", "clearing_since_s", "job", "workers")

    def __init__(
        self, job: Job, workers: list[Unit], clearing_since_s: float | None = None
    ) -> None:
        self.job = job
        self.workers = workers
        self.clearing_since_s = clearing_since_s
        self.backfilled: dict[str, Job] = {}
