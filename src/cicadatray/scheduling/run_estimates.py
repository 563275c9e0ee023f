"""Run times learned from observation."""

import math

from cicadatray.scheduling.job import Job

INITIAL_RUN_S = 3600.0  # "most jobs run for hours"; used until an account's first job ends
LEARNING_WEIGHT = 0.2


class RunEstimates:
    """Moving geometric means per account and gang size; declared run times are not used.

    Estimates only order jobs and rank moves: nothing that must hold depends on them.
    """

    __slots__ = ("log_means", "reported_run_s")

    def __init__(self) -> None:
        self.log_means: dict[tuple[str, int], float] = {}
        self.reported_run_s: dict[str, float] = {}

    def observe(self, job: Job, run_s: float) -> None:
        """Learns from a job that ran to its end."""
        self.reported_run_s.pop(job.request.job_id, None)
        for key in ((job.request.client_account, size_class(job)), ("", size_class(job))):
            log_run_s = math.log(max(1.0, run_s))
            mean = self.log_means.get(key, log_run_s)
            self.log_means[key] = mean + LEARNING_WEIGHT * (log_run_s - mean)

    def report(self, job: Job, run_s: float) -> None:
        """Notes a lower bound for a job that still runs; reports may arrive out of order."""
        job_id = job.request.job_id
        self.reported_run_s[job_id] = max(run_s, self.reported_run_s.get(job_id, 0.0))

    def forget_report(self, job: Job) -> None:
        """Drops what was reported about a job."""
        self.reported_run_s.pop(job.request.job_id, None)

    def run_s(self, job: Job) -> float:
        """Returns the expected run time, at least what was already reported_run_s."""
        own = self.log_means.get((job.request.client_account, size_class(job)))
        mean = own if own is not None else self.log_means.get(("", size_class(job)))
        expected_s = math.exp(mean) if mean is not None else INITIAL_RUN_S
        return max(expected_s, self.reported_run_s.get(job.request.job_id, 0.0))

    def remaining_s(self, job: Job, now_s: float) -> float:
        """Returns the expected rest of a run; a job past its estimate is expected to double."""
        elapsed_s = max(0.0, now_s - job.placed_s)
        expected_s = self.run_s(job)
        return expected_s - elapsed_s if expected_s > elapsed_s else max(60.0, elapsed_s)


def size_class(job: Job) -> int:
    """Groups gang sizes by powers of two."""
    return job.request.shape.accelerators.bit_length()
