"""One job of an experiment, with the facts that are hidden from the scheduler."""

import msgspec

from cicadatray.internal.bench.graph_experiment.load_sheet import JobKind
from cicadatray.scheduling.taskgraphs.job_value import MAX_LATENESS_FACTOR
from cicadatray.scheduling.taskgraphs.task_graph import TaskGraph
from cicadatray.scheduling.taskgraphs.task_id import TaskId


class PlannedJob(msgspec.Struct, frozen=True):
    """A job with its true durations, cancellation time and number of failures.

    `durations_s` has one value per task, step by step; `cancelled_s` is infinite for a job that is
    not cancelled. `failures` is the number of runs that fail half way before one succeeds.
    `worth_factor` is the worth of the job in proportion to its kind. Times are relative to the
    start of the experiment.
    """

    kind: JobKind
    graph: TaskGraph
    arrival_s: float
    durations_s: tuple[float, ...]
    cancelled_s: float
    failures: int
    worth_factor: float = 1.0

    def duration_s(self, task: TaskId) -> float:
        """Returns the true duration of a task."""
        return self.durations_s[self._first_task(task.step) + task.index]

    def objective_s(self) -> float:
        """Returns how long the job may take and still be on time."""
        chain_s = 0.0
        for number, step in enumerate(self.graph.steps):
            first = self._first_task(number)
            chain_s += max(self.durations_s[first : first + step.count])
        return self.kind.stretch * chain_s + self.kind.target_latency_s

    def _first_task(self, step: int) -> int:
        return sum(earlier.count for earlier in self.graph.steps[:step])

    def worthless_after_s(self) -> float:
        """Returns the time after which the end of the job earns nothing."""
        return self.arrival_s + MAX_LATENESS_FACTOR * self.objective_s()
