"""Estimates the speed of each worker from the progress of its runs."""

import math
from collections.abc import Iterable
from statistics import NormalDist, median

from cicadatray.scheduling.taskgraphs.ended_run import EndedRun
from cicadatray.scheduling.taskgraphs.estimate_corrections import EstimateCorrections
from cicadatray.scheduling.taskgraphs.run_pace import PaceSample, ProgressReport, RunPace
from cicadatray.scheduling.taskgraphs.speed_solver import (
    LOWEST_LOG,
    TASK_DEVIATION,
    WORKER_DEVIATION,
    RateObservation,
    StepPrior,
    WorkerEvidence,
    solve,
)
from cicadatray.scheduling.taskgraphs.speed_spread import SpeedSpread
from cicadatray.scheduling.taskgraphs.worker_paces import WorkerPaces

UPDATE_INTERVAL_S = 0.5
# An update costs 6 to 9 µs for each observation on a busy machine. It computes the speeds of at
# most this many workers of one pool, relative to each other, from the bounded number of runs of
# each; larger pools take several updates in turn, at most one in the interval.
WORKERS_PER_UPDATE = 80
PART_INTERVAL_S = 0.2
MAX_RUNS_PER_WORKER = 6
# At most this many runs are followed, evenly by worker, which bounds space; runs beyond it are
# followed as others end.
MAX_RUNS = 12_000
# The reports of 6,100 workers took 180 ms a second. Beyond this number, workers are followed only
# in the 4 s before their turn to be computed: a run shows its pace within 3 s.
MAX_FOLLOWED = 20 * WORKERS_PER_UPDATE
# An observation of a run that has ended loses half of its weight with this much newer work of its
# worker, or in this time without any.
WORK_HALF_LIFE_S = 12.0
IDLE_HALF_LIFE_S = 60.0
STANDARD = NormalDist()


class WorkerSpeeds:
    """Estimates speeds relative to the typical worker of a pool.

    Model: the log of a run's rate is the sum of an effect of its step, an effect of its worker and
    noise. Members of a gang advance at the pace of the slowest, so a gang only bounds the speeds of
    its members from below.
    `followed` holds the workers whose reports are taken in, if there are more than `MAX_FOLLOWED`.
    `solved_observations` counts the observations of the last update, `next_part` the parts of
    large pools in turn.
    """

    __slots__ = (
        "corrections",
        "followed",
        "next_part",
        "solved_observations",
        "spreads",
        "updated_s",
        "workers",
    )

    def __init__(self, corrections: EstimateCorrections | None = None) -> None:
        self.corrections = corrections or EstimateCorrections()
        self.workers: dict[str, WorkerPaces] = {}
        self.followed: set[str] = set()
        self.spreads = SpeedSpread()
        self.updated_s = -math.inf
        self.next_part = 0
        self.solved_observations = 0

    def speed(self, worker_id: str) -> float:
        """Returns the speed, where 1 is that of the typical or an unknown worker."""
        record = self.workers.get(worker_id)
        return math.exp(record.effect) if record else 1.0

    def uncertainty(self, worker_id: str) -> float:
        """Returns the standard deviation of the log of the speed."""
        record = self.workers.get(worker_id)
        return math.sqrt(record.variance) if record else WORKER_DEVIATION

    def observations(self, worker_id: str) -> int:
        """Returns the number of runs on which the speed is based."""
        record = self.workers.get(worker_id)
        return record.observations if record else 0

    def spread(self, pool: str) -> bool:
        """Returns whether the speeds in a pool differ by more than their uncertainty."""
        return pool in self.spreads.pools

    def remaining_s(self, worker_id: str, run_id: str) -> float | None:
        """Returns the remaining time of a run at its present pace, or None if it is unknown."""
        record = self.workers.get(worker_id)
        pace = record.runs.get(run_id) if record else None
        return pace.remaining_s() if pace else None

    def report(
        self, worker_id: str, pool: str, reports: Iterable[ProgressReport], now_s: float
    ) -> None:
        """Records the runs that a followed worker reports; the others have ended."""
        record = self.workers.get(worker_id)
        if record is None or record.pool != pool:
            record = self.workers[worker_id] = WorkerPaces(pool, now_s)
        if not self.is_followed(worker_id):
            record.runs, record.last_report_s = {}, now_s
            return
        if record.runs:
            # A worker that was silent may have done anything.
            record.worked_s += min(2.0, now_s - record.last_report_s)
        record.last_report_s = now_s
        runs: dict[str, RunPace] = {}
        limit = max(1, min(MAX_RUNS_PER_WORKER, MAX_RUNS // min(MAX_FOLLOWED, len(self.workers))))
        for report in reports:
            pace = record.runs.get(report.run_id)
            if len(runs) >= limit:
                break
            if pace is not None:
                pace.add(report.percent, now_s)
                runs[report.run_id] = pace
            elif report.percent >= 0 and report.estimate_s > 0:
                runs[report.run_id] = RunPace(report, now_s)
        record.runs = runs

    def is_followed(self, worker_id: str) -> bool:
        """Returns whether the reports of the worker are taken in now."""
        return len(self.workers) <= MAX_FOLLOWED or worker_id in self.followed

    def end(self, worker_id: str, run_id: str, now_s: float) -> None:
        """Records that a run is done. It must be called before the report that omits the run."""
        record = self.workers.get(worker_id)
        pace = record.runs.pop(run_id, None) if record else None
        sample = pace.whole(now_s) if pace else None
        if record is None or pace is None or sample is None:
            return
        report = pace.report
        ended = record.ended_gangs if report.is_gang else record.ended
        ended.append(EndedRun(report, sample, now_s, record.worked_s))
        # Not converted to a worker of speed 1: speeds depend on corrections, and an error of one
        # would grow through the other.
        time_s = math.exp(-sample.log_rate)
        self.corrections.add(report.queue, report.step_id, report.estimate_s, time_s)

    def remove_worker(self, worker_id: str) -> None:
        """Forgets a worker that has ended."""
        self.workers.pop(worker_id, None)

    def update(self, now_s: float) -> bool:
        """Computes speeds anew; returns False if the last update was a moment ago."""
        is_divided = len(self.workers) > WORKERS_PER_UPDATE
        if now_s - self.updated_s < (PART_INTERVAL_S if is_divided else UPDATE_INTERVAL_S):
            return False
        pools: dict[str, list[tuple[str, WorkerPaces]]] = {}
        for worker_id, record in self.workers.items():
            pools.setdefault(record.pool, []).append((worker_id, record))
        self.updated_s = now_s
        self.solved_observations = 0
        parts = [
            records[first : first + WORKERS_PER_UPDATE]
            for records in pools.values()
            for first in range(0, len(records), WORKERS_PER_UPDATE)
        ]
        if is_divided:
            self.next_part = (self.next_part + 1) % len(parts)
            coming = (parts[self.next_part :] + parts)[1 : 1 + MAX_FOLLOWED // WORKERS_PER_UPDATE]
            self.followed = {worker_id for part in coming for worker_id, _ in part}
            parts = [parts[self.next_part]]
        for part in parts:
            self._update_part([record for _, record in part], now_s)
        for pool, records in pools.items():
            speeds = [(math.exp(r.effect), math.sqrt(r.variance)) for _, r in records]
            self.spreads.update(pool, speeds)
        return True

    def _update_part(self, records: list[WorkerPaces], now_s: float) -> None:
        steps: dict[str, int] = {}
        priors: list[StepPrior] = []
        evidence = [self._evidence(record, now_s, steps, priors) for record in records]
        solve(evidence, priors)
        known = []
        for record, worker in zip(records, evidence, strict=True):
            record.observations = len(worker.recent) + len(worker.earlier)
            self.solved_observations += record.observations
            record.effect, record.variance = worker.effect, worker.variance
            if self._apply_gang_bounds(record) or record.observations:
                known.append(record)
            else:
                record.effect = 0.0
        # Unknown workers count as typical: the few known ones may all be fast or slow.
        centre = median(record.effect for record in records) if known else 0.0
        for record in known:
            record.effect = max(LOWEST_LOG, record.effect - centre)

    def _evidence(
        self,
        record: WorkerPaces,
        now_s: float,
        steps: dict[str, int],
        priors: list[StepPrior],
    ) -> WorkerEvidence:
        evidence = WorkerEvidence([], [], record.effect)
        for pace in record.runs.values():
            sample = None if pace.report.is_gang else pace.recent()
            if sample is not None:
                age_s = now_s - pace.last_report_s
                weight = 0.5 ** (age_s / IDLE_HALF_LIFE_S)
                observation = self._observation(pace.report, sample, weight, steps, priors)
                evidence.recent.append(observation)
        for ended in record.ended:
            work_s = record.worked_s - ended.worked_s
            age_s = now_s - ended.ended_s
            weight = 0.5 ** (work_s / WORK_HALF_LIFE_S + age_s / IDLE_HALF_LIFE_S)
            if weight > 0.01:
                observation = self._observation(ended.report, ended.sample, weight, steps, priors)
                evidence.earlier.append(observation)
        return evidence

    def _observation(
        self,
        report: ProgressReport,
        sample: PaceSample,
        weight: float,
        steps: dict[str, int],
        priors: list[StepPrior],
    ) -> RateObservation:
        step = steps.get(report.step_id)
        if step is None:
            step = steps[report.step_id] = len(priors)
            ratio = self.corrections.log_ratio(report.queue)
            priors.append(StepPrior(-ratio.mean, 1 / ratio.variance))
        precision = weight / (TASK_DEVIATION**2 + sample.error**2)
        return RateObservation(step, sample.log_rate + math.log(report.estimate_s), precision)

    def _apply_gang_bounds(self, record: WorkerPaces) -> int:
        """Conditions the speed of a worker on being at least that of its gangs.

        The time of a gang is known only from its estimate, so the bound is uncertain. The result is
        the normal distribution with the mean and variance of the conditioned one. Returns the
        number of gangs.
        """
        bounds = {
            ended.report.step_id: (ended.report, ended.sample) for ended in record.ended_gangs
        }
        for pace in record.runs.values():
            if pace.report.is_gang and (running := pace.recent()) is not None:
                bounds[pace.report.step_id] = (pace.report, running)
        for report, sample in bounds.values():
            ratio = self.corrections.log_ratio(report.queue)
            bound = sample.log_rate + math.log(report.estimate_s) + ratio.mean
            deviation = math.sqrt(
                record.variance + ratio.variance + TASK_DEVIATION**2 + sample.error**2
            )
            distance = max(-3.0, (record.effect - bound) / deviation)
            hazard = STANDARD.pdf(distance) / STANDARD.cdf(distance)
            share = record.variance / deviation
            record.effect += share * hazard
            record.variance -= share**2 * hazard * (hazard + distance)
        return len(bounds)
