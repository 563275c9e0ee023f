"""Statistics of each graph under this leader, logged when the graph ends."""

from collections.abc import Generator
from typing import TYPE_CHECKING

import structlog

from cicadatray.internal.control.graphs.pool_capacities import objective_of
from cicadatray.internal.observability.queue_metrics import (
    graph_end_seconds,
    graph_start_seconds,
    graphs_ended,
    queue_core_seconds_displaced,
    queue_runs_displaced,
    queue_runs_ended,
)
from cicadatray.internal.wire.messages.graph_messages import PlacedEnd
from cicadatray.scheduling.taskgraphs.graph_outcome import GraphOutcome, classify_graph
from cicadatray.scheduling.taskgraphs.graph_progress import GraphProgress
from cicadatray.scheduling.taskgraphs.run_outcome import RunOutcome
from cicadatray.scheduling.taskgraphs.running_work import RunningWork
from cicadatray.scheduling.taskgraphs.task_id import TaskRun

if TYPE_CHECKING:
    from cicadatray.internal.control.graphs.graph_session import GraphSession

DISPLACED = "displaced"
EVACUATED = "evacuated"
# Counted in the log line of a graph's end. Outcomes such as done and stopped do not count as
# interruptions.
INTERRUPTIONS = (
    DISPLACED,
    EVACUATED,
    RunOutcome.LAPSED.value,
    RunOutcome.LOST.value,
    RunOutcome.CRASHED.value,
    RunOutcome.FAILED.value,
)

log = structlog.get_logger(__name__)


class _GraphCounts:
    """The counters of one graph.

    `counted_from_s` is the age of the graph when this leader began to count. `first_start_s` is the
    delay of the first start; it is None before that start, and stays None if the start happened
    under an earlier leader.
    """

    __slots__ = ("counted_from_s", "first_start_s", "had_begun", "interruptions")

    def __init__(self, counted_from_s: float, had_begun: bool) -> None:
        self.counted_from_s = counted_from_s
        self.had_begun = had_begun
        self.first_start_s: float | None = None
        self.interruptions = dict.fromkeys(INTERRUPTIONS, 0)


class GraphStatistics:
    """Counts starts, ends and interruptions of runs by graph and by queue.

    `counts_by_graph` holds the graphs that have not ended.
    """

    __slots__ = ("counts_by_graph", "session")

    def __init__(self, session: "GraphSession") -> None:
        self.session = session
        self.counts_by_graph: dict[str, _GraphCounts] = {}

    def load(self) -> Generator[None, None, None]:
        """Starts counting for all graphs; yields wherever the caller may pause."""
        for graph_id in list(self.session.graphs):
            self.track(graph_id)
            yield

    def track(self, graph_id: str) -> None:
        """Starts counting for a graph, unless it is tracked already or has ended."""
        progress = self.session.graphs.get(graph_id)
        if progress is None or not progress.is_active or graph_id in self.counts_by_graph:
            return
        age_s = max(0.0, self.session.wall_s() - progress.accepted_s)
        self.counts_by_graph[graph_id] = _GraphCounts(age_s, progress.has_begun)

    def record_start(self, run: TaskRun) -> None:
        """Records a run that is ordered."""
        progress = self.session.graphs.get(run.task.graph_id)
        counts = self.counts_by_graph.get(run.task.graph_id)
        if progress is None or counts is None or counts.had_begun:
            return
        counts.had_begun = True
        graph = progress.graph
        begin_s = graph.due_s(run.task.occurrence) or progress.accepted_s
        counts.first_start_s = max(0.0, self.session.wall_s() - begin_s)
        metrics = self.session.leader.metrics
        graph_start_seconds(metrics).observe(counts.first_start_s, queue=graph.policy.queue)

    def record_displacement(self, run: TaskRun, reason: str) -> None:
        """Records a run that is stopped by the scheduler; `reason` is displaced or evacuated."""
        progress = self.session.graphs.get(run.task.graph_id)
        if progress is None:
            return
        metrics = self.session.leader.metrics
        queue_runs_displaced(metrics).increment(queue=progress.graph.policy.queue, reason=reason)
        self._count_interruption(run.task.graph_id, reason)

    def record_displaced_work(self, victim: RunningWork) -> None:
        """Records the work that is lost when a gang or a task is stopped for another job."""
        progress = self.session.graphs.get(victim.graph_id)
        if progress is not None:
            counter = queue_core_seconds_displaced(self.session.leader.metrics)
            counter.increment(victim.lost_core_seconds(), queue=progress.graph.policy.queue)

    def record_run_end(self, placed: PlacedEnd) -> None:
        """Records the end of a run once it is durable."""
        graph_id = placed.end.run.task.graph_id
        progress = self.session.graphs.get(graph_id)
        if progress is None:
            return
        outcome = placed.end.outcome.value
        metrics = self.session.leader.metrics
        queue_runs_ended(metrics).increment(queue=progress.graph.policy.queue, outcome=outcome)
        self._count_interruption(graph_id, outcome)

    def log_if_ended(self, graph_id: str) -> None:
        """Logs the end of a graph once; does nothing while it has not ended."""
        progress = self.session.graphs.get(graph_id)
        if progress is None or progress.is_active:
            return
        counts = self.counts_by_graph.pop(graph_id, None)
        if counts is not None:
            self._log_end(progress, counts)

    def _count_interruption(self, graph_id: str, interruption: str) -> None:
        counts = self.counts_by_graph.get(graph_id)
        if counts is not None and interruption in counts.interruptions:
            counts.interruptions[interruption] += 1

    def _log_end(self, progress: GraphProgress, counts: _GraphCounts) -> None:
        graph = progress.graph
        queue = graph.policy.queue
        objective_s = objective_of(self.session, graph)
        outcome = classify_graph(progress, objective_s)
        metrics = self.session.leader.metrics
        graphs_ended(metrics).increment(queue=queue, outcome=outcome.value)
        begin_s = graph.due_s(graph.occurrences - 1) or progress.accepted_s
        if outcome not in (GraphOutcome.FAILED, GraphOutcome.CANCELLED):
            took_s = max(0.0, progress.ended_s - begin_s)
            graph_end_seconds(metrics).observe(took_s, queue=queue)
        log.info(
            "graph ended",
            graph=graph.graph_id,
            queue=queue,
            outcome=outcome.value,
            first_start_s=_rounded(counts.first_start_s),
            end_s=_rounded(progress.ended_s - progress.accepted_s),
            objective_s=_rounded(objective_s),
            attempts=max((task.run for task in progress.tasks.values()), default=0),
            runs=sum(task.run for task in progress.tasks.values()),
            counted_from_s=_rounded(counts.counted_from_s),
            failure=progress.failure,
            **counts.interruptions,
        )


def _rounded(seconds: float | None) -> float | None:
    return round(seconds, 2) if seconds is not None else None
