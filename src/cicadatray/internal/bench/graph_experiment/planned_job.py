"""One job of an experiment, with what the scheduler is not told."""

import msgspec

from cicadatray.internal.bench.graph_experiment.load_sheet import JobKind
from cicadatray.scheduling.taskgraphs.job_value import MAX_LATENESS_FACTOR
from cicadatray.scheduling.taskgraphs.task_graph import TaskGraph


class PlannedJob(msgspec.Struct, frozen=True):
    """`durations_s` is by task; `cancelled_s` is infinite for a job that nobody cancels.

    `failures` is how many runs fail, half way, before one succeeds. Times count from the start.
    """

    kind: JobKind
    graph: TaskGraph
    arrival_s: float
    durations_s: tuple[float, ...]
    cancelled_s: float
    failures: int

    def objective_s(self) -> float:
        """Returns how long the job may take to be on time."""
        return self.kind.stretch * max(self.durations_s) + self.kind.target_latency_s

    def worthless_s(self) -> float:
        """Returns when its end is worth nothing any more."""
        return self.arrival_s + MAX_LATENESS_FACTOR * self.objective_s()
