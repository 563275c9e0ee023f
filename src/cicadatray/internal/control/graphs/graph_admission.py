"""Decides whether the leader accepts a new graph."""

from typing import TYPE_CHECKING

import structlog

from cicadatray.internal.control.graphs import graph_codes
from cicadatray.internal.control.graphs.known_capacity import KnownCapacity
from cicadatray.internal.observability.graph_metrics import graphs_refused
from cicadatray.internal.wire.message import Failure
from cicadatray.scheduling.taskgraphs.rules.admission_rule import Refusal
from cicadatray.scheduling.taskgraphs.rules.admission_view import AdmissionView
from cicadatray.scheduling.taskgraphs.task_graph import TaskGraph

if TYPE_CHECKING:
    from cicadatray.internal.control.graphs.graph_session import GraphSession

# The wire gives whole seconds, at least one.
MIN_RETRY_AFTER_S = 1.0

log = structlog.get_logger(__name__)


class GraphAdmission:
    """Applies the rule of admission while this instance leads.

    `capacity` holds the workers that this leader has heard of. `pending_graphs` have been accepted
    and are not known to be durable yet, by identifier.
    """

    __slots__ = ("capacity", "pending_graphs", "session")

    def __init__(self, session: "GraphSession") -> None:
        self.session = session
        self.capacity = KnownCapacity()
        self.pending_graphs: dict[str, TaskGraph] = {}

    def refuse(self, graph: TaskGraph) -> Failure | None:
        """Returns the failure to reply with for a new graph that is refused, or None.

        A graph that an earlier call is about to store is never refused, since it may run.
        """
        if graph.graph_id in self.pending_graphs:
            return None
        view = self.view(graph.policy.pool)
        refusal = self.session.rules.find_admission()(graph, view)
        if refusal is None:
            return None
        failure = _describe(refusal)
        log.info(
            "graph refused",
            graph=graph.graph_id,
            queue=graph.policy.queue,
            account=graph.client_account,
            code=failure.code,
            reason=refusal.reason,
            retry_after_s=round(failure.retry_after_s, 1),
            tasks=[step.count for step in graph.steps],
            accelerators=[step.needs.accelerators for step in graph.steps],
            known_workers=len(view.largest_workers),
        )
        graphs_refused(self.session.leader.metrics).increment(
            queue=graph.policy.queue, code=failure.code
        )
        return failure

    def view(self, pool: str) -> AdmissionView:
        """Returns what the rule of admission may know about a pool.

        The capacity is left out while agents may not have called this leader yet: shortly after its
        term began, while the pool grows, and while an agent that has had runs under any leader has
        not called.
        """
        session, capacity = self.session, self.capacity
        is_known = (
            pool in capacity.grown_s
            and session.knows_workers()
            and capacity.is_settled(pool, session.now_s())
            and all(worker_id in session.workers for worker_id in session.ordered_runs)
            and capacity.agent_ids().issuperset(session.leader.state.graphs.agents.values())
        )
        if not is_known:
            return AdmissionView(now_s=session.wall_s())
        return AdmissionView(session.wall_s(), capacity.capacities(pool), capacity.labels(pool))


def _describe(refusal: Refusal) -> Failure:
    detail = f"not accepted: {refusal.reason}"
    if refusal.retry_after_s is None:
        return Failure(code=graph_codes.NOT_FEASIBLE, detail=detail)
    retry_after_s = max(MIN_RETRY_AFTER_S, refusal.retry_after_s)
    return Failure(code=graph_codes.NOT_NOW, detail=detail, retry_after_s=retry_after_s)
