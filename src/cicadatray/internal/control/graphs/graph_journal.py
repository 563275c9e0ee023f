"""What happened to each graph under this leader, told when the graph ends."""

from typing import TYPE_CHECKING

import structlog

from cicadatray.internal.observability.queue_metrics import (
    graph_end_seconds,
    graph_start_seconds,
    graphs_ended,
    queue_runs_displaced,
    queue_runs_ended,
)
from cicadatray.internal.wire.messages.graph_messages import PlacedEnd
from cicadatray.scheduling.taskgraphs.graph_outcome import GraphOutcome, judge_graph
from cicadatray.scheduling.taskgraphs.graph_progress import GraphProgress
from cicadatray.scheduling.taskgraphs.run_outcome import RunOutcome
from cicadatray.scheduling.taskgraphs.task_id import TaskRun

if TYPE_CHECKING:
    from cicadatray.internal.control.graphs.graph_session import GraphSession

DISPLACED = "displaced"
EVACUATED = "evacuated"
# Counted in the line of a graph's end; runs that were done or stopped are no trouble.
TROUBLES = (
    DISPLACED,
    EVACUATED,
    RunOutcome.LAPSED.value,
    RunOutcome.LOST.value,
    RunOutcome.FAILED.value,
)

log = structlog.get_logger(__name__)


class _GraphTally:
    """`counted_from_s` is the age of the graph when this leader began to count.

    `first_start_s` is None before the first start, and for good when an earlier leader made it.
    """

    __slots__ = ("counted_from_s", "counts", "first_start_s", "had_begun")

    def __init__(self, counted_from_s: float, had_begun: bool) -> None:
        self.counted_from_s = counted_from_s
        self.had_begun = had_begun
        self.first_start_s: float | None = None
        self.counts = dict.fromkeys(TROUBLES, 0)


class GraphJournal:
    """Holds a tally for each graph that has not ended, and counts by queue."""

    __slots__ = ("session", "tallies")

    def __init__(self, session: "GraphSession") -> None:
        self.session = session
        self.tallies: dict[str, _GraphTally] = {}
        for graph_id in session.graphs:
            self.begin(graph_id)

    def begin(self, graph_id: str) -> None:
        """Opens the tally of a graph that has not ended."""
        progress = self.session.graphs.get(graph_id)
        if progress is None or not progress.is_active or graph_id in self.tallies:
            return
        age_s = max(0.0, self.session.wall_s() - progress.accepted_s)
        self.tallies[graph_id] = _GraphTally(age_s, progress.has_begun)

    def note_started(self, run: TaskRun) -> None:
        """Notes a run that is ordered."""
        progress = self.session.graphs.get(run.task.graph_id)
        tally = self.tallies.get(run.task.graph_id)
        if progress is None or tally is None or tally.had_begun:
            return
        tally.had_begun = True
        graph = progress.graph
        begin_s = graph.due_s(run.task.occurrence) or progress.accepted_s
        tally.first_start_s = max(0.0, self.session.wall_s() - begin_s)
        metrics = self.session.leader.metrics
        graph_start_seconds(metrics).observe(tally.first_start_s, queue=graph.policy.queue)

    def note_displaced(self, run: TaskRun, reason: str) -> None:
        """Notes a run that is stopped for others; `reason` is displaced or evacuated."""
        progress = self.session.graphs.get(run.task.graph_id)
        if progress is None:
            return
        metrics = self.session.leader.metrics
        queue_runs_displaced(metrics).increment(queue=progress.graph.policy.queue, reason=reason)
        self._count(run.task.graph_id, reason)

    def note_run_ended(self, placed: PlacedEnd) -> None:
        """Notes the stored end of a run."""
        graph_id = placed.end.run.task.graph_id
        progress = self.session.graphs.get(graph_id)
        if progress is None:
            return
        outcome = placed.end.outcome.value
        metrics = self.session.leader.metrics
        queue_runs_ended(metrics).increment(queue=progress.graph.policy.queue, outcome=outcome)
        self._count(graph_id, outcome)

    def close(self, graph_id: str) -> None:
        """Tells once how a graph has ended; does nothing while it has not."""
        progress = self.session.graphs.get(graph_id)
        if progress is None or progress.is_active:
            return
        tally = self.tallies.pop(graph_id, None)
        if tally is not None:
            self._tell_end(progress, tally)

    def _count(self, graph_id: str, trouble: str) -> None:
        tally = self.tallies.get(graph_id)
        if tally is not None and trouble in tally.counts:
            tally.counts[trouble] += 1

    def _tell_end(self, progress: GraphProgress, tally: _GraphTally) -> None:
        graph = progress.graph
        queue = graph.policy.queue
        outcome = judge_graph(progress)
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
            first_start_s=_rounded(tally.first_start_s),
            end_s=_rounded(progress.ended_s - progress.accepted_s),
            objective_s=_rounded(graph.objective_s()),
            attempts=max((task.run for task in progress.tasks.values()), default=0),
            runs=sum(task.run for task in progress.tasks.values()),
            counted_from_s=_rounded(tally.counted_from_s),
            failure=progress.failure,
            **tally.counts,
        )


def _rounded(seconds: float | None) -> float | None:
    return round(seconds, 2) if seconds is not None else None
