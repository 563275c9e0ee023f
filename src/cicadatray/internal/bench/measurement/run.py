"""One run of a workload with one policy."""

import time
from collections.abc import Callable
from functools import partial

from cicadatray.internal.bench.measurement.capacity_ledger import CapacityLedger
from cicadatray.internal.bench.measurement.claims import Claims
from cicadatray.internal.bench.measurement.deployment import Deployment
from cicadatray.internal.bench.measurement.event_heap import EventHeap
from cicadatray.internal.bench.measurement.fake_fleet import DECISION_DELAY_S, FakeFleet
from cicadatray.internal.bench.measurement.invariant_monitor import InvariantMonitor
from cicadatray.internal.bench.measurement.job_plan import JobPlan
from cicadatray.internal.bench.measurement.job_record import JobEnding, JobRecord
from cicadatray.internal.bench.measurement.run_metrics import RunMetrics
from cicadatray.internal.bench.measurement.run_summary import summarize_run
from cicadatray.internal.bench.measurement.worker_outage import WorkerOutage
from cicadatray.internal.bench.measurement.workload import Workload
from cicadatray.scheduling.decision import Decision, FailJob, MoveJob, PlaceJob, ReclaimJob
from cicadatray.scheduling.gang_outcome import GangOutcome
from cicadatray.scheduling.scheduler import Scheduler

# The leader also decides without an event, for rules that depend on elapsed time.
TICK_S = 15.0
# An unfinished run is cut off this many times the horizon after the end of the submissions.
DRAIN_HORIZONS = 2.0
# A job placed this often makes no progress. It is abandoned and counted as starved, so that a
# faulty policy cannot make the run endless.
MAX_PLACEMENTS = 100


class Run:
    """Submits a workload to a scheduler and has the fake fleet carry out its decisions."""

    __slots__ = (
        "claims",
        "decision_pending",
        "decision_times_s",
        "deployment",
        "fleet",
        "heap",
        "ledger",
        "make_scheduler",
        "monitor",
        "open_jobs",
        "records",
        "scheduler",
        "workload",
    )

    def __init__(
        self,
        deployment: Deployment,
        workload: Workload,
        make_scheduler: Callable[[], Scheduler],
    ) -> None:
        self.deployment = deployment
        self.workload = workload
        self.heap = EventHeap()
        self.make_scheduler = make_scheduler
        self.scheduler = make_scheduler()
        self.ledger = CapacityLedger(deployment.inventory, deployment.large_job, workload.horizon_s)
        self.claims = Claims(deployment.inventory, deployment.guarantees)
        self.fleet = FakeFleet(
            self.heap, self.scheduler, self.ledger, self._request_decision, self._on_released
        )
        self.monitor = InvariantMonitor(
            self.claims.guarantee_check, self.ledger.lost, self.fleet.failing
        )
        self.records: dict[str, JobRecord] = {}
        self.open_jobs = len(workload.plans)
        self.decision_pending = False
        self.decision_times_s: list[float] = []

    def run(self) -> RunMetrics:
        """Runs until every job has ended, or the time limit after the horizon."""
        for plan in self.workload.plans:
            self.heap.call_at(plan.request.submitted_s, partial(self._submit, plan))
            if plan.cancel_s is not None:
                self.heap.call_at(plan.cancel_s, partial(self._cancel, plan.request.job_id))
        for outage in self.workload.losses:
            self.heap.call_at(outage.from_s, partial(self._lose_worker, outage))
        for outage in self.workload.failing:
            self.heap.call_at(outage.from_s, partial(self.fleet.failing.add, outage.worker_id))
            self.heap.call_at(outage.to_s, partial(self.fleet.failing.discard, outage.worker_id))
        for at_s in self.workload.leader_changes:
            self.heap.call_at(at_s, self._change_leader)
        self._tick()
        until_s = (1 + DRAIN_HORIZONS) * self.workload.horizon_s
        self.heap.run(until_s, lambda: self.open_jobs == 0)
        self.ledger.update_fragmentation(self.heap.now_s)
        return summarize_run(self)

    def _tick(self) -> None:
        self._request_decision()
        self.heap.call_after(TICK_S, self._tick)

    def _submit(self, plan: JobPlan) -> None:
        record = JobRecord(plan)
        self.records[plan.request.job_id] = record
        admission = self.scheduler.submit(plan.request, self.heap.now_s)
        if not admission.accepted:
            self._end_job(record, JobEnding.REFUSED)
            return
        if plan.request.urgent:
            unusable = self.ledger.lost | self.fleet.failing
            self.claims.on_submitted(record, unusable, self.heap.now_s)
        self._request_decision()

    def _cancel(self, job_id: str) -> None:
        record = self.records[job_id]
        if record.ending is not None:
            return
        self.scheduler.cancel(job_id, self.heap.now_s)
        self.fleet.cancel(job_id)
        self._end_job(record, JobEnding.CANCELLED)
        self._request_decision()

    def _change_leader(self) -> None:
        """Rebuilds the scheduler of a new leader from the known jobs, gangs and workers."""
        now_s = self.heap.now_s
        self.scheduler = self.make_scheduler()
        self.fleet.scheduler = self.scheduler
        for worker_id in sorted(self.ledger.lost):
            self.scheduler.worker_lost(worker_id, now_s)
        self.fleet.restore()
        for job_id, record in self.records.items():
            if record.ending is None and job_id not in self.fleet.gangs:
                self.scheduler.submit(record.plan.request, now_s)
        self.claims.disturb()
        self._request_decision()

    def _end_job(self, record: JobRecord, ending: JobEnding) -> None:
        if record.ending is None:
            record.end(ending, self.heap.now_s)
            self.open_jobs -= 1
        self.claims.on_ended(record)

    def _lose_worker(self, outage: WorkerOutage) -> None:
        self.heap.call_at(outage.to_s, partial(self.fleet.return_worker, outage.worker_id))
        self.claims.on_worker_lost(self.heap.now_s)
        for record in self.fleet.lose_worker(outage.worker_id):
            self.claims.guarantee_check.release(record.plan.request.job_id)
        self.monitor.check_guarantees(self.heap.now_s, f"loss of {outage.worker_id}", loss=True)

    def _on_released(self, record: JobRecord) -> None:
        self.claims.guarantee_check.release(record.plan.request.job_id)
        if record.ending is JobEnding.COMPLETED:
            self.open_jobs -= 1
            self.claims.on_ended(record)

    def _request_decision(self) -> None:
        if not self.decision_pending:
            self.decision_pending = True
            self.heap.call_after(DECISION_DELAY_S, self._decide)

    def _decide(self) -> None:
        self.decision_pending = False
        started_s = time.process_time()
        decisions = self.scheduler.decide(self.heap.now_s)
        self.decision_times_s.append(time.process_time() - started_s)
        for decision in decisions:
            self._apply_decision(decision)
            self.monitor.check_guarantees(self.heap.now_s, repr(decision))

    def _apply_decision(self, decision: Decision) -> None:
        record = self.records.get(decision.job_id)
        if record is None:
            self.monitor.record_unexpected_decision(
                self.heap.now_s, f"{decision} names an unknown job"
            )
        elif isinstance(decision, PlaceJob):
            self._place(record, decision)
        elif isinstance(decision, FailJob):
            self.fleet.fail(decision.job_id)
            self._end_job(record, JobEnding.FAILED)
        else:
            self._interrupt(decision)

    def _place(self, record: JobRecord, decision: PlaceJob) -> None:
        now_s = self.heap.now_s
        if record.ending is not None or decision.job_id in self.fleet.gangs:
            self.monitor.record_unexpected_decision(
                now_s, f"{decision} places a job that has ended or runs"
            )
            return
        record.placements += 1
        if record.placements > MAX_PLACEMENTS:
            self._abandon(record)
            return
        shape = record.plan.request.shape
        problem = self.ledger.find_problem(decision.placement, shape)
        if problem is not None:
            self.monitor.record_partial_gang(now_s, f"{decision} for {shape}: {problem}")
            self.fleet.refuse(record, decision.placement)
            return
        self.fleet.place(record, decision.placement)
        self.claims.on_placed(record, decision.placement)

    def _abandon(self, record: JobRecord) -> None:
        job_id = record.plan.request.job_id
        self.scheduler.cancel(job_id, self.heap.now_s)
        self.scheduler.gang_released(job_id, self.heap.now_s, GangOutcome.CANCELLED)
        self._end_job(record, JobEnding.ABANDONED)

    def _interrupt(self, decision: ReclaimJob | MoveJob) -> None:
        if self.claims.guarantee_check.holds(decision.job_id):
            self.monitor.record_violation(
                self.heap.now_s, f"{decision} stops a job in its guarantee"
            )
        if decision.job_id in self.fleet.gangs:
            self.fleet.interrupt(decision.job_id)
        else:
            self.monitor.record_unexpected_decision(
                self.heap.now_s, f"{decision} names a job that does not run"
            )
