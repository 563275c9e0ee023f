"""The planned course of one job of a workload."""

import msgspec

from cicadatray.scheduling.job_request import JobRequest


class JobPlan(msgspec.Struct, frozen=True):
    """A request together with the facts that are hidden from the scheduler.

    `run_s` is the true run time. `impossible` jobs are larger than any unit of their scope; the
    tasks of a job that `fails_everywhere` fail on every worker. `checkpoint_s` is how long a
    checkpoint of this job takes.
    """

    request: JobRequest
    run_s: float
    checkpoint_s: float
    fails_everywhere: bool = False
    impossible: bool = False
    cancel_s: float | None = None

    @property
    def work(self) -> float:
        """The accelerator-seconds of one complete run of the job; 0 if it cannot complete."""
        if self.impossible or self.fails_everywhere:
            return 0.0
        return self.run_s * self.request.shape.accelerators
