"""Estimates of run times, derived from past runs."""

import math

from cicadatray.scheduling.job import Job

INITIAL_RUN_S = 3600.0  # most jobs run for hours; used until the first job of this size ends
LEARNING_WEIGHT = 0.2


class RunEstimates:
    """Keeps moving geometric means per account and gang size; ignores declared run times.

    Estimates only order jobs and rank moves; no guarantee depends on them.
    """

    __slots__ = ("log_means", "reported_run_s")

    def __init__(self) -> None:
        self.log_means: dict[tuple[str, int], float] = {}
        self.reported_run_s: dict[str, float] = {}

    def observe(self, job: Job, run_s: float) -> None:
        """Updates the means with the run time of a completed job."""
        self.reported_run_s.pop(job.request.job_id, None)
        for key in ((job.request.client_account, size_class(job)), ("", size_class(job))):
            log_run_s = math.log(max(1.0, run_s))
            mean = self.log_means.get(key, log_run_s)
            self.log_means[key] = mean + LEARNING_WEIGHT * (log_run_s - mean)

    def report(self, job: Job, run_s: float) -> None:
        """Records the run time so far of a running job; reports may arrive out of order."""
        job_id = job.request.job_id
        self.reported_run_s[job_id] = max(run_s, self.reported_run_s.get(job_id, 0.0))

    def forget_report(self, job: Job) -> None:
        """Discards the reported run time of a job."""
        self.reported_run_s.pop(job.request.job_id, None)

    def run_s(self, job: Job) -> float:
        """Returns the expected run time, which is at least the reported one."""
        own = self.log_means.get((job.request.client_account, size_class(job)))
        mean = own if own is not None else self.log_means.get(("", size_class(job)))
        expected_s = math.exp(mean) if mean is not None else INITIAL_RUN_S
        return max(expected_s, self.reported_run_s.get(job.request.job_id, 0.0))

    def remaining_s(self, job: Job, now_s: float) -> float:
        """Returns the expected remaining time; a run past its estimate is expected to double."""
        elapsed_s = max(0.0, now_s - job.placed_s)
        expected_s = self.run_s(job)
        return expected_s - elapsed_s if expected_s > elapsed_s else max(60.0, elapsed_s)


def size_class(job: Job) -> int:
    """Returns the power-of-two size class of a gang."""
    return job.request.shape.accelerators.bit_length()
