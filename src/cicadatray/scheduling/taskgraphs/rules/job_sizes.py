"""The sizes of jobs relative to the mean of their queue."""

from collections.abc import Iterable

import msgspec

from cicadatray.scheduling.taskgraphs.running_work import ACCELERATOR_CORES
from cicadatray.scheduling.taskgraphs.task_graph import TaskGraph
from cicadatray.scheduling.taskgraphs.waiting_work import WaitingWork

# A job is worth this share of its kind's worth, plus the rest in proportion to its work, up to a
# limit (load sheets of the users).
FIXED_WORTH_SHARE = 0.3
MOST_WORTH_FACTOR = 4.0
# The mean of a queue counts like this many jobs of mean size, so that the first jobs after a change
# of leader are taken as ordinary ones.
PRIOR_JOBS = 5
# Beyond this number of jobs older ones lose weight.
MOST_COUNTED_JOBS = 300
# More jobs than wait and run at any time; the oldest are forgotten first.
MOST_REMEMBERED_JOBS = 8_000


class _QueueMean(msgspec.Struct):
    """The mean work of the jobs of a queue, in core-seconds."""

    jobs: int = 0
    mean: float = 0.0

    def add(self, work: float) -> None:
        self.jobs = min(self.jobs + 1, MOST_COUNTED_JOBS)
        self.mean += (work - self.mean) / self.jobs


class JobSizes:
    """Learns the mean work of the jobs of each queue from their estimates; kept in `RuleMemory`."""

    __slots__ = ("means", "work_by_graph")

    def __init__(self) -> None:
        self.means: dict[str, _QueueMean] = {}
        self.work_by_graph: dict[str, tuple[str, float]] = {}

    def observe(self, waiting: Iterable[WaitingWork]) -> None:
        """Counts each job once, when it is first seen."""
        for work in waiting:
            graph = work.graph.graph
            if graph.graph_id not in self.work_by_graph:
                self._add(graph)

    def worth_factor(self, graph_id: str) -> float:
        """Returns the worth of a job relative to that of its kind; 1 for a job not seen waiting."""
        if graph_id not in self.work_by_graph:
            return 1.0
        queue, work = self.work_by_graph[graph_id]
        known = self.means[queue]
        if known.mean <= 0:
            return 1.0
        weight = known.jobs / (known.jobs + PRIOR_JOBS)
        ratio = 1 + weight * (work / known.mean - 1)
        return min(MOST_WORTH_FACTOR, FIXED_WORTH_SHARE + (1 - FIXED_WORTH_SHARE) * ratio)

    def _add(self, graph: TaskGraph) -> None:
        work = sum(
            step.count
            * step.estimate_s
            * (step.needs.cpu_millis / 1000 + ACCELERATOR_CORES * step.needs.accelerators)
            for step in graph.steps
        )
        queue = graph.policy.queue
        self.means.setdefault(queue, _QueueMean()).add(work)
        self.work_by_graph[graph.graph_id] = (queue, work)
        if len(self.work_by_graph) > MOST_REMEMBERED_JOBS:
            del self.work_by_graph[next(iter(self.work_by_graph))]
