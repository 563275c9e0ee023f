"""Workers with given speeds whose runs report progress to an estimator."""

import math
from collections.abc import Callable
from random import Random

from cicadatray.scheduling.taskgraphs.run_pace import ProgressReport
from cicadatray.scheduling.taskgraphs.worker_speeds import WorkerSpeeds

SpeedOf = Callable[[float], float]
STEP_S = 0.05


class PacedRun:
    """One run: its true time at speed 1, what it has done and its next report."""

    __slots__ = ("done_s", "duration_s", "idle_s", "run_id", "step_id")

    def __init__(self, run_id: str, step_id: str, duration_s: float, idle_s: float) -> None:
        self.run_id = run_id
        self.step_id = step_id
        self.duration_s = duration_s
        self.idle_s = idle_s
        self.done_s = 0.0


class PacedFleet:
    """Keeps each worker busy with single tasks and reports about once a second.

    `speeds` gives the speed of each worker by time. Tasks of one step vary by a log deviation of
    0.25, estimates are off by one of 0.5, starts take 0.1 to 0.6 s. Percentages are rounded down
    to multiples of `grain`, and reports are late by up to `delay_s`.
    """

    def __init__(
        self, speeds: dict[str, SpeedOf], seed: int = 1, grain: int = 1, delay_s: float = 0.1
    ) -> None:
        self.random = Random(seed)
        self.true_speeds = speeds
        self.grain = grain
        self.delay_s = delay_s
        self.slots = 4
        self.now_s = 0.0
        self.estimator = WorkerSpeeds()
        self.runs: dict[str, list[PacedRun]] = {worker: [] for worker in speeds}
        self.next_report_s = {worker: self.random.random() for worker in speeds}
        self.step_times_s: dict[str, float] = {}
        self.started = 0

    def run(self, until_s: float) -> None:
        """Advances to a time."""
        while self.now_s < until_s:
            self.now_s = round(self.now_s + STEP_S, 6)
            for worker, speed_at in self.true_speeds.items():
                self._advance(worker, speed_at(self.now_s))
                if self.now_s >= self.next_report_s[worker]:
                    self.next_report_s[worker] += 1.0 + self.random.uniform(0.0, self.delay_s)
                    self._report(worker)
            self.estimator.update(self.now_s)

    def speed(self, worker: str) -> float:
        return self.estimator.speed(worker)

    def replace(self, worker: str, successor: str) -> None:
        """Replaces a worker by a new incarnation of the same speed, with new runs."""
        self.estimator.remove_worker(worker)
        self.runs.pop(worker)
        self.runs[successor] = []
        self.true_speeds[successor] = self.true_speeds.pop(worker)
        self.next_report_s[successor] = self.now_s

    def _advance(self, worker: str, speed: float) -> None:
        for run in list(self.runs[worker]):
            if run.idle_s > 0:
                run.idle_s -= STEP_S
                continue
            run.done_s += STEP_S * speed
            if run.done_s >= run.duration_s:
                self.runs[worker].remove(run)
                self.estimator.end(worker, run.run_id, self.now_s)
        while len(self.runs[worker]) < self.slots:
            self.runs[worker].append(self._make_run())

    def _make_run(self) -> PacedRun:
        # Steps have 39 tasks.
        step_id = f"step{self.started // 39}"
        if step_id not in self.step_times_s:
            self.step_times_s[step_id] = 8.0 * math.exp(self.random.gauss(0.0, 0.5))
        duration_s = self.step_times_s[step_id] * math.exp(self.random.gauss(0.0, 0.25))
        self.started += 1
        idle_s = self.random.uniform(0.1, 0.6)
        return PacedRun(f"run{self.started}", step_id, duration_s, idle_s)

    def _report(self, worker: str) -> None:
        reports = []
        for run in self.runs[worker]:
            percent = int(100 * run.done_s / run.duration_s) // self.grain * self.grain
            reports.append(ProgressReport(run.run_id, run.step_id, "batch", 8.0, False, percent))
        self.estimator.report(worker, "pool", reports, self.now_s)


def constant(speed: float) -> SpeedOf:
    """Returns a speed that does not change."""
    return lambda _: speed


def spell(speed: float, from_s: float, until_s: float) -> SpeedOf:
    """Returns speed 1 except between two times."""
    return lambda now_s: speed if from_s <= now_s < until_s else 1.0
