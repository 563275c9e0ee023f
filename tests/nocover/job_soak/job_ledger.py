"""What was submitted, what workers ran, and what that breaks."""

import time
from typing import TYPE_CHECKING

from nocover.configuration_soak.findings import Findings
from nocover.job_soak.gangs import Gangs
from nocover.job_soak.job import FAR_FACTOR, Job, JobStep
from nocover.job_soak.run import Run

if TYPE_CHECKING:
    from nocover.job_soak.worker import Worker


class JobLedger:
    """All jobs and workers of a play; judges each start when it happens."""

    __slots__ = ("findings", "gangs", "jobs", "runs", "workers")

    def __init__(self, findings: Findings) -> None:
        self.findings = findings
        self.gangs = Gangs()
        self.jobs: dict[str, Job] = {}
        self.runs: dict[str, list[Run]] = {}
        self.workers: list[Worker] = []

    def accepted(self) -> list[Job]:
        """Returns the jobs whose acceptance was confirmed."""
        return [job for job in self.jobs.values() if job.accepted_s < time.monotonic()]

    def begin_worker(self, worker: "Worker") -> None:
        """Adds a worker that is up."""
        self.workers.append(worker)
        self.findings.note(f"worker {worker.identifier} at {worker.host} {worker.labels}")

    def end_worker(self, worker: "Worker", listed: list[Run]) -> None:
        """Removes a worker; control cannot ask any more for the ends that it still lists."""
        self.workers.remove(worker)
        self.findings.note(f"worker {worker.identifier} at {worker.host} is gone")
        for run in listed:
            job = self.jobs[run.job_id]
            if run.key not in job.noted:
                job.held.discard(run.key)

    def step_of(self, run: Run) -> JobStep:
        """Returns the step of a run's task."""
        return self.jobs[run.job_id].steps[run.step]

    def begin(self, run: Run) -> None:
        """Judges a start, and plans when the run ends."""
        job, step = self.jobs[run.job_id], self.step_of(run)
        others = self.runs.setdefault(run.task, [])
        where = f"{run.task} run {run.number} at {run.worker.host} {run.worker.identifier}"
        self.findings.note(f"start {where}")
        if others:
            also = [f"run {other.number} at {other.worker.host}" for other in others]
            self.findings.report("task runs twice", f"{where}, also {also}")
        if run.key in job.noted:
            self.findings.report("task starts after its end was taken note of", where)
        if any(job.open_tasks(earlier, job.done) for earlier in step.depends_on):
            self.findings.report("task starts before its turn", where)
        if step.label and step.label not in run.worker.labels:
            self.findings.report("task starts without its label", where)
        others.append(run)
        job.running += 1
        work_s = step.work_s + max(0.0, run.worker.faults.still_until_s - time.monotonic())
        if step.data_rack and step.data_rack not in run.worker.labels:
            work_s *= FAR_FACTOR
        if step.is_gang:
            self.gangs.join(job, run, work_s)
        else:
            run.work_s = work_s
            run.end_after(work_s, "done")

    def end(self, run: Run, how: str) -> None:
        """Records the end of a run that its worker lists."""
        self.findings.note(f"end {run.task} run {run.number} at {run.worker.host}: {how}")
        job = self.jobs[run.job_id]
        if how == "done":
            job.done.add(run.key)
            job.held.add(run.key)
        job.failures += how == "failed"
        self._remove(run, how)

    def lose(self, run: Run) -> None:
        """Records that a run ended with its worker."""
        self._remove(run, "lost")

    def note_end(self, run: Run, stands: bool) -> None:
        """Records that an end was taken note of; `stands` if the task must not run again."""
        if stands:
            self.jobs[run.job_id].noted.add(run.key)

    def _remove(self, run: Run, how: str) -> None:
        self.runs[run.task].remove(run)
        self.jobs[run.job_id].running -= 1
        if self.step_of(run).is_gang:
            self.gangs.leave(run, how)
