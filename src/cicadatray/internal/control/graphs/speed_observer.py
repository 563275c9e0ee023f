"""Feeds the estimator of worker speeds from the reports of agents."""

import math
from typing import TYPE_CHECKING

import msgspec
import structlog

from cicadatray.internal.control.graphs.worker_session import WorkerSession
from cicadatray.internal.wire.messages.graph_messages import PlacedEnd
from cicadatray.scheduling.taskgraphs.estimate_corrections import EstimateCorrections
from cicadatray.scheduling.taskgraphs.run_outcome import RunOutcome
from cicadatray.scheduling.taskgraphs.run_pace import ProgressReport
from cicadatray.scheduling.taskgraphs.running_work import RunningWork
from cicadatray.scheduling.taskgraphs.speed_spread import UNKNOWN_UNCERTAINTY
from cicadatray.scheduling.taskgraphs.task_id import TaskRun
from cicadatray.scheduling.taskgraphs.worker_capacity import WorkerCapacity
from cicadatray.scheduling.taskgraphs.worker_speeds import WorkerSpeeds

if TYPE_CHECKING:
    from cicadatray.internal.control.graphs.graph_session import GraphSession

# A change of a speed is logged when it exceeds a step of 20%.
LOGGED_STEP = math.log(1.2)
LISTED_LIMIT = 200

log = structlog.get_logger(__name__)


class WorkerSpeedSummary(msgspec.Struct, frozen=True):
    """What the leader knows of the speed of one worker; 1 is that of the typical worker."""

    worker_id: str
    speed: float
    uncertainty: float
    observations: int


class SpeedObserver:
    """Estimates the speeds of workers for one leader.

    It exists only if the rule for candidates uses speeds. `logged` holds the log of the last speed
    of each worker that was logged.
    """

    __slots__ = ("logged", "session", "speeds")

    def __init__(self, session: "GraphSession") -> None:
        self.session = session
        self.speeds = WorkerSpeeds(session.rule_memory.get(EstimateCorrections))
        self.logged: dict[str, float] = {}

    def observe(self, worker: WorkerSession, ends: list[PlacedEnd], now_s: float) -> None:
        """Records the ends and the progress that a worker has reported now."""
        worker_id = worker.offer.worker_id
        for placed in ends:
            if placed.end.outcome is RunOutcome.DONE:
                self.speeds.end(worker_id, run_id_of(placed.end.run), now_s)
        # Not built for workers that are not followed.
        reports = (self._progress_of(worker, run) for run in worker.reports)
        known = (report for report in reports if report is not None)
        self.speeds.report(worker_id, worker.offer.pool, known, now_s)

    def update(self, now_s: float) -> None:
        """Computes the speeds, at most a few times a second, and logs those that have changed."""
        if not self.speeds.update(now_s):
            return
        for worker_id in self.speeds.workers:
            log_speed = math.log(self.speeds.speed(worker_id))
            if abs(log_speed - self.logged.get(worker_id, 0.0)) >= LOGGED_STEP:
                self.logged[worker_id] = log_speed
                log.info(
                    "worker speed changed",
                    worker=worker_id,
                    speed=round(self.speeds.speed(worker_id), 2),
                    uncertainty=round(self.speeds.uncertainty(worker_id), 2),
                    observations=self.speeds.observations(worker_id),
                )

    def set_speed(self, worker: WorkerCapacity) -> None:
        """Sets the speed of a worker in the input of a round."""
        worker.speed = self.speeds.speed(worker.worker_id)
        worker.speed_uncertainty = self.speeds.uncertainty(worker.worker_id)

    def set_remaining(self, work: RunningWork) -> None:
        """Sets the remaining time of running work at the pace of the last seconds.

        It stays unknown until the run has progressed for about a second.
        """
        for run, (worker_id, _) in zip(work.runs, work.occupied, strict=True):
            work.pace_remaining_s = self.speeds.remaining_s(worker_id, run_id_of(run))
            if work.pace_remaining_s is not None:
                return

    def remove_worker(self, worker_id: str) -> None:
        """Forgets a worker that has ended."""
        self.speeds.remove_worker(worker_id)
        self.logged.pop(worker_id, None)

    def summaries(self) -> tuple[WorkerSpeedSummary, ...]:
        """Returns the slowest workers first."""
        by_speed = sorted(self.speeds.workers, key=self.speeds.speed)
        return tuple(
            WorkerSpeedSummary(
                worker_id,
                round(self.speeds.speed(worker_id), 3),
                round(self.speeds.uncertainty(worker_id), 3),
                self.speeds.observations(worker_id),
            )
            for worker_id in by_speed[:LISTED_LIMIT]
        )

    def count_by_class(self) -> dict[tuple[str, ...], float]:
        """Returns the number of workers in each class of speed."""
        names = ("unknown", "still", "slow", "typical", "fast")
        counts: dict[tuple[str, ...], float] = {(name,): 0.0 for name in names}
        for worker_id in self.speeds.workers:
            counts[(self._class_of(worker_id),)] += 1
        return counts

    def _class_of(self, worker_id: str) -> str:
        speed = self.speeds.speed(worker_id)
        if self.speeds.uncertainty(worker_id) >= UNKNOWN_UNCERTAINTY:
            return "unknown"
        if speed < 0.25:
            return "still"
        if speed < 0.8:
            return "slow"
        return "typical" if speed < 1.25 else "fast"

    def _progress_of(self, worker: WorkerSession, run: TaskRun) -> ProgressReport | None:
        """Returns the progress of a run, or None if its graph has been removed."""
        progress = self.session.graphs.get(run.task.graph_id)
        if progress is None or run.task.step >= len(progress.graph.steps):
            return None
        step = progress.graph.steps[run.task.step]
        return ProgressReport(
            run_id=run_id_of(run),
            step_id=f"{run.task.graph_id}.{run.task.occurrence}.{run.task.step}",
            queue=progress.graph.policy.queue,
            estimate_s=step.estimate_s,
            is_gang=step.is_gang and step.count > 1,
            percent=worker.reports[run].percent,
        )


def run_id_of(run: TaskRun) -> str:
    """Returns the identifier of a run for the estimator."""
    return f"{run.task}#{run.run}"
