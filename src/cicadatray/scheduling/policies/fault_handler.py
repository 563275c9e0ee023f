"""The handling of failed tasks: quarantine of workers and trial runs on them."""

from cicadatray.scheduling.fault_tracker import SUCCESSFUL_RUN_S, FaultTracker
from cicadatray.scheduling.gang_outcome import GangOutcome
from cicadatray.scheduling.guarantee_plan import GuaranteePlan
from cicadatray.scheduling.job import Job, JobState
from cicadatray.scheduling.placement import Placement, WorkerShare
from cicadatray.scheduling.scheduling_state import SchedulingState
from cicadatray.scheduling.shape import Scope
from cicadatray.scheduling.unit import Unit
from cicadatray.scheduling.waiting_queue import WaitingQueue

# Time that an expired quarantine waits for a small job as a trial, unless a waiting job needs the
# worker. A longer wait would withhold a repaired worker from gangs while there are no small jobs.
TRIAL_WAIT_S = 300.0


class FaultHandler:
    """Applies the conclusions of the fault tracker to the fleet and the guarantee plan.

    `watched_jobs` are running jobs whose success clears a worker or a job of a fault.
    """

    __slots__ = ("plan", "state", "tracker", "watched_jobs")

    def __init__(self, state: SchedulingState, plan: GuaranteePlan) -> None:
        self.state = state
        self.plan = plan
        self.tracker = FaultTracker(state.fleet)
        self.watched_jobs: dict[str, Job] = {}

    def task_failed(self, job: Job, worker: Unit, now_s: float) -> None:
        """Records the failure and quarantines the worker when there is enough evidence."""
        self.watched_jobs.pop(job.request.job_id, None)
        if self.tracker.record_failure(job, worker, now_s):
            self._quarantine(worker)

    def started(self, job: Job) -> None:
        """Watches a run whose success releases a worker or is evidence against another one."""
        trials = self.tracker.trial_jobs.values()
        if job.failures or job.request.job_id in trials:
            self.watched_jobs[job.request.job_id] = job

    def released(self, job: Job, outcome: GangOutcome, now_s: float) -> None:
        """Records how a run ended."""
        self.watched_jobs.pop(job.request.job_id, None)
        if outcome is GangOutcome.COMPLETED:
            self._record_success(job, now_s)
        else:
            self.tracker.end_trial(job)

    def observe_runs(self, now_s: float) -> None:
        """Counts watched jobs that have run for `SUCCESSFUL_RUN_S` as successes."""
        for job in list(self.watched_jobs.values()):
            started_s = job.started_s if job.started_s is not None else now_s
            if job.state is JobState.RUNNING and now_s - started_s >= SUCCESSFUL_RUN_S:
                del self.watched_jobs[job.request.job_id]
                self._record_success(job, now_s)

    def choose_trials(self, queue: WaitingQueue, now_s: float) -> list[tuple[Job, Placement]]:
        """Returns a small job and its placement for each worker whose quarantine has expired."""
        due = self.tracker.workers_due_for_trial(now_s)
        if not due:
            return []
        chosen: list[tuple[Job, Placement]] = []
        waiting = queue.oldest_jobs()
        jobs = [job for job in waiting if self._is_trial_candidate(job)]
        jobs.sort(key=lambda job: (job.request.shape.accelerators, job.sequence))
        for worker in due:
            idle = worker.installed - worker.allocated
            job = next((j for j in jobs if j.request.shape.accelerators <= idle), None)
            if job is None:
                expired_s = now_s - self.tracker.quarantined_until_s[worker.key]
                if expired_s >= TRIAL_WAIT_S or self._is_needed(worker, due, waiting):
                    self._release_untried(worker)
                continue
            jobs.remove(job)
            self.tracker.trial_jobs[worker.key] = job.request.job_id
            share = WorkerShare(worker.key, job.request.shape.accelerators)
            chosen.append((job, Placement((share,))))
        return chosen

    def _is_needed(self, worker: Unit, due: list[Unit], waiting: list[Job]) -> bool:
        """Returns whether a waiting job fits only if workers whose quarantine expired return.

        Waiting for a trial could not help such a job: no worker in service can replace these.
        """
        for job in waiting:
            shape = job.request.shape
            unit = worker.enclosing(shape.scope)
            missing = shape.accelerators - unit.capacity
            returning = sum(
                other.installed
                for other in due
                if other.quarantined and other.enclosing(shape.scope) is unit
            )
            if 0 < missing <= returning and not any(
                other.capacity >= shape.accelerators
                for other in self.state.fleet.units(shape.scope)
            ):
                return True
        return False

    def _release_untried(self, worker: Unit) -> None:
        """Ends an expired quarantine without a trial; a single further failure renews it."""
        del self.tracker.quarantined_until_s[worker.key]
        self.state.fleet.set_quarantined(worker, False)
        self.plan.capacity_changed(worker)

    def _is_trial_candidate(self, job: Job) -> bool:
        request = job.request
        return request.shape.scope is Scope.WORKER and not request.urgent and not job.failures

    def _record_success(self, job: Job, now_s: float) -> None:
        faulty, recovered = self.tracker.record_success(job, now_s)
        for worker in faulty:
            self._quarantine(worker)
        for worker in recovered:
            self.state.fleet.set_quarantined(worker, False)
            self.plan.capacity_changed(worker)

    def _quarantine(self, worker: Unit) -> None:
        for job_id in list(self.state.jobs_by_worker.get(worker.key, {})):
            self.plan.unbind(job_id)
        self.state.fleet.set_quarantined(worker, True)
        self.plan.capacity_changed(worker)
