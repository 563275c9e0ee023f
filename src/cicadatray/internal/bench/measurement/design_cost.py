"""Processor time of scheduling decisions at design size."""

import time
import tracemalloc

import msgspec

from cicadatray.internal.bench.measurement.design_fleet import DESIGN_WORKERS, DesignFleet
from cicadatray.internal.bench.measurement.fake_fleet import DECISION_DELAY_S
from cicadatray.internal.bench.measurement.spread import Spread, spread_of
from cicadatray.scheduling.decision import PlaceJob, ReclaimJob
from cicadatray.scheduling.gang_outcome import GangOutcome
from cicadatray.scheduling.scheduler import Scheduler

PLACEMENTS = 100
CLAIMS = 40
LOSSES = 20
BURST_JOBS = 1000
# The leader decides once for all jobs that arrive within the decision delay.
JOBS_PER_DECISION = 20
# A phase that uses more processor time is cut off and reported as incomplete.
PHASE_BUDGET_S = 15.0
BYTES_PER_MB = 1_000_000
MS_PER_S = 1000.0


class DesignCost(msgspec.Struct, frozen=True):
    """Processor times; an incomplete phase gives its time until it was cut off."""

    workers: int
    accelerators: int
    running_jobs: int
    placement_ms: Spread
    placement_mean_ms: float
    placed_jobs: int
    reclaim_ms: Spread
    claims: int
    claims_placed: int
    worker_loss_ms: Spread
    submission_burst_s: float
    cancellation_burst_s: float
    complete: bool


class DesignCostMeasurement:
    """Measures the costs of one policy on one fleet."""

    __slots__ = ("complete", "fleet", "now_s", "placed", "scheduler")

    def __init__(self, workers: int, policy: str) -> None:
        self.fleet = DesignFleet(workers, policy)
        self.scheduler: Scheduler = self.fleet.scheduler
        self.now_s = 0.0
        self.placed: set[str] = set()
        self.complete = True

    def measure(self, burst_jobs: int) -> DesignCost:
        """Measures single placements, then a burst of submissions and of their cancellations."""
        self.fleet.fill()
        running = len(self.fleet.running)
        placements_s = self._measure_placements()
        placed = len(self.placed)
        claims_s, claims_placed = self._measure_claims()
        losses_s = self._measure_losses()
        burst: list[str] = []
        submissions_s = self._measure_submission_burst(burst_jobs, burst)
        cancellations_s = self._measure_cancellation_burst(burst)
        return DesignCost(
            workers=len(self.fleet.inventory.workers),
            accelerators=self.fleet.capacity,
            running_jobs=running,
            placement_ms=_milliseconds(placements_s),
            placement_mean_ms=round(sum(placements_s) / len(placements_s) * MS_PER_S, 4),
            placed_jobs=placed,
            reclaim_ms=_milliseconds(claims_s),
            claims=len(claims_s),
            claims_placed=claims_placed,
            worker_loss_ms=_milliseconds(losses_s),
            submission_burst_s=round(submissions_s, 4),
            cancellation_burst_s=round(cancellations_s, 4),
            complete=self.complete,
        )

    def _decide(self) -> None:
        self.now_s += DECISION_DELAY_S
        for decision in self.scheduler.decide(self.now_s):
            if isinstance(decision, PlaceJob):
                self.placed.add(decision.job_id)
                self.scheduler.gang_started(decision.job_id, self.now_s)
            elif isinstance(decision, ReclaimJob):
                self.scheduler.gang_released(decision.job_id, self.now_s, GangOutcome.CHECKPOINTED)

    def _measure_placements(self) -> list[float]:
        """Measures placements; each probe ends a running job and submits one of the same shape."""
        self._decide()
        durations_s: list[float] = []
        for ended in self.fleet.running[:PLACEMENTS]:
            request = self.fleet.next_request(self.now_s, ended.shape)
            started_s = time.process_time()
            self.scheduler.gang_released(ended.job_id, self.now_s, GangOutcome.COMPLETED)
            self.scheduler.submit(request, self.now_s)
            self._decide()
            durations_s.append(time.process_time() - started_s)
            if sum(durations_s) > PHASE_BUDGET_S:
                self.complete = False
                break
        return durations_s

    def _measure_claims(self) -> tuple[list[float], int]:
        """Measures claims of a guarantee on a full fleet.

        Each probe takes two decisions, one for the victims and one for the placement.
        """
        guarantees = self.fleet.guarantees
        chosen = guarantees[:: max(1, len(guarantees) // CLAIMS)]
        durations_s = []
        placed = 0
        for guarantee in chosen:
            request = self.fleet.urgent_request(guarantee, self.now_s)
            started_s = time.process_time()
            self.scheduler.submit(request, self.now_s)
            self._decide()
            self._decide()
            durations_s.append(time.process_time() - started_s)
            placed += request.job_id in self.placed
            if self._is_over_budget(started_s):
                break
        return durations_s, placed

    def _measure_losses(self) -> list[float]:
        """Measures losses; each probe loses a worker with accelerators, which then returns."""
        workers = [worker for worker in self.fleet.inventory.workers if worker.accelerators]
        durations_s = []
        for worker in workers[:: max(1, len(workers) // LOSSES)]:
            started_s = time.process_time()
            self.scheduler.worker_lost(worker.worker_id, self.now_s)
            self._decide()
            durations_s.append(time.process_time() - started_s)
            self.scheduler.worker_returned(worker.worker_id, self.now_s)
            self._decide()
        return durations_s

    def _measure_submission_burst(self, jobs: int, submitted: list[str]) -> float:
        requests = [self.fleet.next_request(self.now_s) for _ in range(jobs)]
        started_s = time.process_time()
        for first in range(0, jobs, JOBS_PER_DECISION):
            for request in requests[first : first + JOBS_PER_DECISION]:
                self.scheduler.submit(request, self.now_s)
                submitted.append(request.job_id)
            self._decide()
            if self._is_over_budget(started_s):
                break
        return time.process_time() - started_s

    def _measure_cancellation_burst(self, job_ids: list[str]) -> float:
        started_s = time.process_time()
        for first in range(0, len(job_ids), JOBS_PER_DECISION):
            for job_id in job_ids[first : first + JOBS_PER_DECISION]:
                self.scheduler.cancel(job_id, self.now_s)
                if job_id in self.placed:
                    self.scheduler.gang_released(job_id, self.now_s, GangOutcome.CANCELLED)
            self._decide()
            if self._is_over_budget(started_s):
                break
        return time.process_time() - started_s

    def _is_over_budget(self, started_s: float) -> bool:
        over = time.process_time() - started_s > PHASE_BUDGET_S
        self.complete = self.complete and not over
        return over


def _milliseconds(durations_s: list[float]) -> Spread:
    return spread_of([duration_s * MS_PER_S for duration_s in durations_s])


def measure_design_cost(
    policy: str, workers: int = DESIGN_WORKERS, burst_jobs: int = BURST_JOBS
) -> DesignCost:
    """Measures the costs of a policy on a fleet of this many workers."""
    return DesignCostMeasurement(workers, policy).measure(burst_jobs)


def measure_state_mb(policy: str, workers: int) -> float:
    """Returns the memory of a scheduler with its inventory and running gangs."""
    tracemalloc.start()
    fleet = DesignFleet(workers, policy)
    fleet.fill()
    allocated, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return round(allocated / BYTES_PER_MB, 2)
