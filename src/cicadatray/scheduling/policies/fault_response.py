"""Acts on failed tasks: quarantines workers, tries them again and stops faulty jobs."""

from cicadatray.scheduling.fault_tracker import CONFIRMED_RUN_S, FaultTracker
from cicadatray.scheduling.gang_outcome import GangOutcome
from cicadatray.scheduling.guarantee_plan import GuaranteePlan
from cicadatray.scheduling.job import Job, JobState
from cicadatray.scheduling.placement import Placement, WorkerShare
from cicadatray.scheduling.scheduling_state import SchedulingState
from cicadatray.scheduling.shape import Scope
from cicadatray.scheduling.unit import Unit
from cicadatray.scheduling.waiting_queue import WaitingQueue

TRIAL_WAIT_S = 300.0  # longer would withhold a repaired worker from gangs for want of small jobs


class FaultResponse:
    """Keeps fleet and plan in step with the verdicts of the fault tracker."""

    __slots__ = ("plan", "state", "tracker", "watched")

    def __init__(self, state: SchedulingState, plan: GuaranteePlan) -> None:
        self.state = state
        self.plan = plan
        self.tracker = FaultTracker(state.fleet)
        self.watched: dict[str, Job] = {}

    def task_failed(self, job: Job, worker: Unit, now_s: float) -> None:
        """Quarantines the worker when the evidence suffices."""
        self.watched.pop(job.request.job_id, None)
        if self.tracker.failed(job, worker, now_s):
            self._quarantine(worker)

    def started(self, job: Job) -> None:
        """Watches runs that clear a worker or convict another one."""
        trials = self.tracker.probation.values()
        if job.failures or job.request.job_id in trials:
            self.watched[job.request.job_id] = job

    def released(self, job: Job, outcome: GangOutcome, now_s: float) -> None:
        """Learns from the end of a run."""
        self.watched.pop(job.request.job_id, None)
        if outcome is GangOutcome.COMPLETED:
            self._succeeded(job, now_s)
        else:
            self.tracker.ended_without_verdict(job)

    def observe_runs(self, now_s: float) -> None:
        """Counts watched jobs that have run long enough as successes."""
        for job in list(self.watched.values()):
            started_s = job.started_s if job.started_s is not None else now_s
            if job.state is JobState.RUNNING and now_s - started_s >= CONFIRMED_RUN_S:
                del self.watched[job.request.job_id]
                self._succeeded(job, now_s)

    def trials(self, queue: WaitingQueue, now_s: float) -> list[tuple[Job, Placement]]:
        """Chooses one small job for each worker whose quarantine is over."""
        due = self.tracker.due_for_probation(now_s)
        if not due:
            return []
        chosen: list[tuple[Job, Placement]] = []
        jobs = [job for job in queue.oldest() if self._suits_trial(job)]
        jobs.sort(key=lambda job: (job.request.shape.accelerators, job.sequence))
        for worker in due:
            room = worker.total - worker.used
            job = next((j for j in jobs if j.request.shape.accelerators <= room), None)
            if job is None:
                self._trust_untried(worker, now_s)
                continue
            jobs.remove(job)
            self.tracker.probation[worker.key] = job.request.job_id
            share = WorkerShare(worker.key, job.request.shape.accelerators)
            chosen.append((job, Placement((share,))))
        return chosen

    def _trust_untried(self, worker: Unit, now_s: float) -> None:
        """Ends a quarantine for which no small job waits; one more failure renews it."""
        if now_s - self.tracker.until_s[worker.key] >= TRIAL_WAIT_S:
            del self.tracker.until_s[worker.key]
            self.state.fleet.set_quarantined(worker, False)
            self.plan.capacity_changed(worker)

    def _suits_trial(self, job: Job) -> bool:
        request = job.request
        return request.shape.scope is Scope.WORKER and not request.urgent and not job.failures

    def _succeeded(self, job: Job, now_s: float) -> None:
        guilty, trusted = self.tracker.succeeded(job, now_s)
        for worker in guilty:
            self._quarantine(worker)
        for worker in trusted:
            self.state.fleet.set_quarantined(worker, False)
            self.plan.capacity_changed(worker)

    def _quarantine(self, worker: Unit) -> None:
        for job_id in list(self.state.on_worker.get(worker.key, {})):
            self.plan.unbind(job_id)
        self.state.fleet.set_quarantined(worker, True)
        self.plan.capacity_changed(worker)
