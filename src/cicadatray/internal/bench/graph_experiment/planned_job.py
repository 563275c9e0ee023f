"""One job of an experiment, with what the scheduler is not told."""

from cicadatray.internal.bench.graph_experiment.load_sheet import JobKind
from cicadatray.scheduling.taskgraphs.task_graph import TaskGraph


class PlannedJob:
    """`durations_s` is by task; `cancelled_s` is infinite for a job that nobody cancels.

    `failures` is how many runs fail, half way, before one succeeds. Times count from the start.
    """

    __slots__ = ("arrival_s", "cancelled_s", "durations_s", "failures", "graph", "kind")

    def __init__(
        self,
        kind: JobKind,
        graph: TaskGraph,
        arrival_s: float,
        durations_s: tuple[float, ...],
        cancelled_s: float,
        failures: int,
    ) -> None:
        self.kind = kind
        self.graph = graph
        self.arrival_s = arrival_s
        self.durations_s = durations_s
        self.cancelled_s = cancelled_s
        self.failures = failures

    def objective_s(self) -> float:
        """Returns how long the job may take to be on time."""
        return self.kind.stretch * max(self.durations_s) + self.kind.target_latency_s
