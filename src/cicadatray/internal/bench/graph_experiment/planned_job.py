"""One job of an experiment, with the facts that are hidden from the scheduler."""

import msgspec

from cicadatray.internal.bench.graph_experiment.load_sheet import JobKind
from cicadatray.scheduling.taskgraphs.job_value import MAX_LATENESS_FACTOR
from cicadatray.scheduling.taskgraphs.task_graph import TaskGraph


class PlannedJob(msgspec.Struct, frozen=True):
    """A job with its true durations, cancellation time and number of failures.

    `durations_s` has one value per task; `cancelled_s` is infinite for a job that is not cancelled.
    `failures` is the number of runs that fail half way before one succeeds. Times are relative to
    the start of the experiment.
    """

    kind: JobKind
    graph: TaskGraph
    arrival_s: float
    durations_s: tuple[float, ...]
    cancelled_s: float
    failures: int

    def objective_s(self) -> float:
        """Returns how long the job may take and still be on time."""
        return self.kind.stretch * max(self.durations_s) + self.kind.target_latency_s

    def worthless_after_s(self) -> float:
        """Returns the time after which the end of the job earns nothing."""
        return self.arrival_s + MAX_LATENESS_FACTOR * self.objective_s()
