"""A fake fleet that carries out decisions with the delays of the platform."""

from collections.abc import Callable
from functools import partial

from cicadatray.internal.bench.measurement.capacity_ledger import CapacityLedger
from cicadatray.internal.bench.measurement.event_heap import EventHeap
from cicadatray.internal.bench.measurement.gang import Gang, GangPhase
from cicadatray.internal.bench.measurement.job_record import JobEnding, JobRecord
from cicadatray.scheduling.gang_outcome import GangOutcome
from cicadatray.scheduling.placement import Placement
from cicadatray.scheduling.scheduler import Scheduler

# A reclaim takes two decisions (victims, then placement), and the design allows 0.25 s for both.
DECISION_DELAY_S = 0.125
PREPARE_S = 0.5
START_S = 0.25
STOP_S = 0.5
# A lease of 6 s plus the drift margin of 0.6 s, after which a lost worker has stopped its tasks.
LEASE_BOUND_S = 6.6
# Checkpointable jobs also save their progress on their own while they run.
CHECKPOINT_INTERVAL_S = 600.0
TASK_FAILURE_AFTER_S = 2.0
USAGE_INTERVAL_S = 60.0
USAGE_LAG_S = 15.0


class FakeFleet:
    """Runs gangs and reports to the scheduler.

    `on_change` is called after each report, `on_release` when a gang has released its capacity.
    """

    __slots__ = (
        "failing",
        "gangs",
        "heap",
        "interruptions",
        "ledger",
        "on_change",
        "on_release",
        "scheduler",
    )

    def __init__(
        self,
        heap: EventHeap,
        scheduler: Scheduler,
        ledger: CapacityLedger,
        on_change: Callable[[], None],
        on_release: Callable[[JobRecord], None],
    ) -> None:
        self.heap = heap
        self.scheduler = scheduler
        self.ledger = ledger
        self.on_change = on_change
        self.on_release = on_release
        self.gangs: dict[str, Gang] = {}
        self.failing: set[str] = set()
        self.interruptions = 0

    def place(self, record: JobRecord, placement: Placement) -> None:
        """Prepares and starts a gang."""
        now_s = self.heap.now_s
        gang = Gang(record, placement)
        self.gangs[record.plan.request.job_id] = gang
        record.stop_waiting(now_s)
        self.ledger.hold(placement, now_s)
        self._schedule(gang, PREPARE_S + START_S, self._on_started)

    def refuse(self, record: JobRecord, placement: Placement) -> None:
        """Simulates a member's refusal to prepare; the members that have prepared are stopped."""
        gang = Gang(record, placement)
        gang.holds_capacity = False
        self.gangs[record.plan.request.job_id] = gang
        record.stop_waiting(self.heap.now_s)
        self._stop(gang, GangOutcome.STOPPED, PREPARE_S + STOP_S)

    def restore(self) -> None:
        """Restores the gangs that hold capacity in a new scheduler, in order of placement."""
        for job_id, gang in self.gangs.items():
            request = gang.record.plan.request
            if gang.holds_capacity:
                self.scheduler.restore_running(request, gang.placement, self.heap.now_s)
            if gang.outcome is GangOutcome.CANCELLED:
                self.scheduler.cancel(job_id, self.heap.now_s)

    def interrupt(self, job_id: str) -> None:
        """Checkpoints and stops a gang; a repeated request changes nothing."""
        gang = self.gangs[job_id]
        if gang.phase is GangPhase.STOPPING:
            return
        self.interruptions += 1
        plan = gang.record.plan
        if gang.phase is GangPhase.RUNNING and plan.request.checkpointable:
            # The tasks run on until the checkpoint is complete.
            gang.running_since_s -= plan.checkpoint_s
            self._save_progress(gang, self.heap.now_s - gang.running_since_s)
            outcome = GangOutcome.CHECKPOINTED
            if gang.record.remaining_s <= 0:
                outcome = GangOutcome.COMPLETED
            self._stop(gang, outcome, plan.checkpoint_s + STOP_S)
        else:
            self._stop(gang, GangOutcome.STOPPED, STOP_S)

    def cancel(self, job_id: str) -> None:
        """Stops the gang of a cancelled job, if it has one."""
        gang = self.gangs.get(job_id)
        if gang is None:
            return
        if gang.phase is GangPhase.STOPPING:
            gang.outcome = GangOutcome.CANCELLED
        else:
            self._stop(gang, GangOutcome.CANCELLED, STOP_S)

    def fail(self, job_id: str) -> None:
        """Stops the gang of a job that the scheduler declared failed, if it has one."""
        gang = self.gangs.get(job_id)
        if gang is not None and gang.phase is not GangPhase.STOPPING:
            self._stop(gang, GangOutcome.FAILED, STOP_S)

    def lose_worker(self, worker_id: str) -> list[JobRecord]:
        """Takes a worker out of service; returns the jobs whose gangs lose a member."""
        now_s = self.heap.now_s
        self.ledger.lost.add(worker_id)
        self.ledger.update_fragmentation(now_s)
        self.scheduler.worker_lost(worker_id, now_s)
        affected = [gang for gang in self.gangs.values() if gang.uses(worker_id)]
        for gang in affected:
            if gang.phase is GangPhase.RUNNING and gang.record.plan.request.checkpointable:
                ran_s = now_s - gang.running_since_s
                self._save_progress(gang, ran_s - ran_s % CHECKPOINT_INTERVAL_S)
            outcome = GangOutcome.WORKER_LOST
            if gang.outcome is GangOutcome.CANCELLED:
                outcome = GangOutcome.CANCELLED
            self._stop(gang, outcome, LEASE_BOUND_S)
        self.on_change()
        return [gang.record for gang in affected]

    def return_worker(self, worker_id: str) -> None:
        """Puts a worker back into service."""
        now_s = self.heap.now_s
        self.ledger.lost.discard(worker_id)
        self.ledger.update_fragmentation(now_s)
        self.scheduler.worker_returned(worker_id, now_s)
        self.on_change()

    def _schedule(self, gang: Gang, delay_s: float, action: Callable[[Gang], None]) -> None:
        gang.timer_number += 1
        self.heap.call_after(delay_s, partial(self._run_timer, gang, gang.timer_number, action))

    def _run_timer(self, gang: Gang, timer_number: int, action: Callable[[Gang], None]) -> None:
        if gang.timer_number == timer_number:
            action(gang)

    def _on_started(self, gang: Gang) -> None:
        now_s = self.heap.now_s
        record = gang.record
        job_id = record.plan.request.job_id
        gang.phase = GangPhase.RUNNING
        gang.running_since_s = now_s
        if record.started_s is None:
            record.started_s = now_s
        self.scheduler.gang_started(job_id, now_s)
        self.heap.call_after(USAGE_INTERVAL_S, partial(self._measure_usage, gang))
        if record.plan.fails_everywhere or any(map(gang.uses, self.failing)):
            self._schedule(gang, TASK_FAILURE_AFTER_S, self._on_task_failed)
        else:
            self._schedule(gang, record.remaining_s, self._on_finished)
        self.on_change()

    def _measure_usage(self, gang: Gang) -> None:
        if gang.phase is not GangPhase.RUNNING:
            return
        ran_s = self.heap.now_s - gang.running_since_s
        self.heap.call_after(USAGE_LAG_S, partial(self._report_usage, gang, ran_s))
        self.heap.call_after(USAGE_INTERVAL_S, partial(self._measure_usage, gang))

    def _report_usage(self, gang: Gang, ran_s: float) -> None:
        # The gang may have ended meanwhile; late reports are sent nevertheless.
        job_id = gang.record.plan.request.job_id
        self.scheduler.usage_reported(job_id, ran_s, self.heap.now_s)

    def _on_task_failed(self, gang: Gang) -> None:
        workers = [share.worker_id for share in gang.placement.shares]
        failing = [worker_id for worker_id in workers if worker_id in self.failing]
        job_id = gang.record.plan.request.job_id
        self.scheduler.task_failed(job_id, (failing or workers)[0], self.heap.now_s)
        self._stop(gang, GangOutcome.FAILED, STOP_S)
        self.on_change()

    def _on_finished(self, gang: Gang) -> None:
        gang.record.remaining_s = 0.0
        gang.phase = GangPhase.STOPPING
        gang.outcome = GangOutcome.COMPLETED
        self._release(gang)

    def _save_progress(self, gang: Gang, ran_s: float) -> None:
        gang.record.remaining_s = max(0.0, gang.record.remaining_s - ran_s)

    def _stop(self, gang: Gang, outcome: GangOutcome, delay_s: float) -> None:
        gang.phase = GangPhase.STOPPING
        gang.outcome = outcome
        self._schedule(gang, delay_s, self._release)

    def _release(self, gang: Gang) -> None:
        now_s = self.heap.now_s
        record = gang.record
        job_id = record.plan.request.job_id
        del self.gangs[job_id]
        if gang.holds_capacity:
            self.ledger.release(gang.placement, now_s)
        if gang.outcome is GangOutcome.COMPLETED:
            record.end(JobEnding.COMPLETED, now_s)
        elif record.ending is None:
            record.start_waiting(now_s)
        self.on_release(record)
        assert gang.outcome is not None
        self.scheduler.gang_released(job_id, now_s, gang.outcome)
        self.on_change()
