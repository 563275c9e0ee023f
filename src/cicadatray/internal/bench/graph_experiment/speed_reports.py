"""What control learns of the speeds of emulated workers."""

from collections.abc import Iterable, Mapping
from statistics import median

from cicadatray.internal.bench.graph_experiment.emulated_run import EmulatedRun
from cicadatray.scheduling.taskgraphs.estimate_corrections import EstimateCorrections
from cicadatray.scheduling.taskgraphs.rules.rule_memory import RuleMemory
from cicadatray.scheduling.taskgraphs.run_pace import ProgressReport
from cicadatray.scheduling.taskgraphs.running_work import RunningWork
from cicadatray.scheduling.taskgraphs.task_id import TaskRun
from cicadatray.scheduling.taskgraphs.worker_capacity import WorkerCapacity
from cicadatray.scheduling.taskgraphs.worker_speeds import WorkerSpeeds

REPORT_S = 1.0
POOL = "pool"


class SpeedReports:
    """Passes the percentages of runs to an estimator once a second, as agents do.

    With `knows_speeds` control is told the true speeds and uses only the corrections of estimates.
    """

    __slots__ = ("knows_speeds", "next_s", "speeds")

    def __init__(self, knows_speeds: bool) -> None:
        self.knows_speeds = knows_speeds
        self.next_s = 0.0
        self.speeds = WorkerSpeeds()

    def report(self, worker_ids: list[str], runs: Iterable[EmulatedRun], now_s: float) -> None:
        """Reports the runs of these workers, once a second, and updates the speeds."""
        if now_s < self.next_s:
            return
        self.next_s = now_s + REPORT_S
        by_worker: dict[str, list[ProgressReport]] = {name: [] for name in worker_ids}
        for run in runs:
            # A stopped run waits for its end.
            if run.started_s > now_s or run.stop_end_s is not None:
                continue
            for task_run, worker_id in run.placed_tasks:
                if worker_id in by_worker:
                    by_worker[worker_id].append(_progress_of(run, task_run, now_s))
        for worker_id, reports in by_worker.items():
            self.speeds.report(worker_id, POOL, reports, now_s)
        self.speeds.update(now_s)

    def set_speeds(
        self,
        workers: Mapping[str, WorkerCapacity],
        running: Iterable[RunningWork],
        true_speeds: Mapping[str, float],
    ) -> None:
        """Sets the speeds of workers and the remaining times of runs."""
        centre = median(true_speeds.values())
        for name, worker in workers.items():
            if self.knows_speeds:
                worker.speed = true_speeds[name] / centre
            else:
                worker.speed = self.speeds.speed(name)
                worker.speed_uncertainty = self.speeds.uncertainty(name)
        for work in running:
            worker_id = work.occupied[0][0]
            work.pace_remaining_s = self.speeds.remaining_s(worker_id, run_id_of(work.runs[0]))

    def share_corrections(self, memory: RuleMemory) -> None:
        """Makes the corrections of estimates available to the rules."""
        self.speeds.corrections = memory.get(EstimateCorrections)


def run_id_of(run: TaskRun) -> str:
    """Returns the identifier of a run for the estimator."""
    return f"{run.task}#{run.run}"


def _progress_of(run: EmulatedRun, task_run: TaskRun, now_s: float) -> ProgressReport:
    task, step = task_run.task, run.work.step
    return ProgressReport(
        run_id=run_id_of(task_run),
        step_id=f"{task.graph_id}.{task.occurrence}.{task.step}",
        queue=run.work.graph.graph.policy.queue,
        estimate_s=step.estimate_s,
        is_gang=step.is_gang and step.count > 1,
        percent=run.percent_done(now_s),
    )
