"""Logs covered work that could not start in its time, and measures what guarantees cover."""

from collections import Counter
from collections.abc import Callable, Iterable

import structlog

from cicadatray.internal.control.graphs.graph_session import GraphSession
from cicadatray.internal.observability.graph_metrics import (
    covered_accelerators,
    guarantees_missed,
)
from cicadatray.internal.observability.metrics_registry import MetricsRegistry
from cicadatray.scheduling.taskgraphs.placement_plan import PlacementPlan
from cicadatray.scheduling.taskgraphs.rules.guarantee_rule import demand_of_graph
from cicadatray.scheduling.taskgraphs.task_id import TaskRun
from cicadatray.scheduling.taskgraphs.waiting_work import WaitingWork

# Many tasks may be late at once, so the log is limited to one line a second for each account.
LINE_INTERVAL_S = 1.0

# A graph, an occurrence, a step and the number of the next run of its waiting tasks.
WorkKey = tuple[str, int, int, int]

log = structlog.get_logger(__name__)


class GuaranteeLog:
    """Watches the waiting work that guarantees cover while this instance leads.

    The tasks of a step that wait for the same run are watched together.

    `waits_since_s` is when each such work was first seen waiting and covered; a new leader begins
    anew. `reported` are those of them that have been counted as too late, because they waited for
    longer than `StartLimits.urgent_start_s`.
    """

    __slots__ = ("next_line_s", "reported", "session", "waits_since_s")

    def __init__(self, session: GraphSession) -> None:
        self.session = session
        self.waits_since_s: dict[WorkKey, float] = {}
        self.reported: set[WorkKey] = set()
        self.next_line_s: dict[str, float] = {}

    def record_round(self, waiting: Iterable[WaitingWork], plan: PlacementPlan) -> None:
        """Records the waiting work of a round and what the round has started of it."""
        now_s = self.session.now_s()
        covered: dict[WorkKey, list[WaitingWork]] = {}
        for work in waiting:
            if work.is_guaranteed:
                covered.setdefault((*work.step_key, work.run), []).append(work)
        self.waits_since_s = {key: self.waits_since_s.get(key, now_s) for key in covered}
        self.reported &= covered.keys()
        limit_s = self.session.start_limits.urgent_start_s
        started = Counter(_key(assignment.run) for assignment in plan.assignments)
        for key, works in covered.items():
            waited_s = now_s - self.waits_since_s[key]
            if waited_s <= limit_s or key in self.reported:
                continue
            first = works[0]
            count = 1 if first.step.is_gang else sum(work.task_count for work in works)
            if count > started[key]:
                self._report(key, first, count - started[key], waited_s, plan)

    def _report(
        self, key: WorkKey, work: WaitingWork, count: int, waited_s: float, plan: PlacementPlan
    ) -> None:
        graph = work.graph.graph
        account = graph.client_account
        self.reported.add(key)
        guarantees_missed(self.session.leader.metrics).increment(count, client_account=account)
        now_s = self.session.now_s()
        if now_s < self.next_line_s.get(account, 0.0):
            return
        self.next_line_s[account] = now_s + LINE_INTERVAL_S
        # Only the oldest work of a queue is diagnosed; its reason mostly holds for the others.
        wait = plan.waits.get(graph.policy.queue)
        log.warning(
            "guarantee not met",
            graph=graph.graph_id,
            account=account,
            task=work.task(work.indexes[0]).key,
            waited_s=round(waited_s, 2),
            reason=wait.reason.value if wait is not None else "",
            needs=str(work.step.demand),
            tasks=len(work.indexes),
        )


def _key(run: TaskRun) -> WorkKey:
    task = run.task
    return (task.graph_id, task.occurrence, task.step, run.run)


def register_coverage_gauge(
    registry: MetricsRegistry, current_session: Callable[[], GraphSession | None]
) -> None:
    """Registers the gauge of covered accelerators, which is computed when metrics are read."""

    def read() -> dict[tuple[str, ...], float]:
        session = current_session()
        return count_covered(session) if session is not None else {}

    covered_accelerators(registry).read_label_sets_from(read)


def count_covered(session: GraphSession) -> dict[tuple[str, ...], float]:
    """Returns the accelerators of covered graphs by account, 0 for others with a guarantee."""
    guaranteed = session.guaranteed_accelerators()
    counts: dict[tuple[str, ...], float] = {(name,): 0.0 for name, n in guaranteed.items() if n}
    for graph_id in session.rules.find_guarantees()(session.graphs.values(), guaranteed):
        progress = session.graphs[graph_id]
        key = (progress.graph.client_account,)
        counts[key] = counts.get(key, 0.0) + demand_of_graph(progress)
    return counts
