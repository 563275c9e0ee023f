"""Workers that their agents have replaced by other ones."""

from typing import TYPE_CHECKING

import structlog

from cicadatray.internal.wire.messages.graph_messages import PlacedEnd, SyncWorker

if TYPE_CHECKING:
    from cicadatray.internal.control.graphs.graph_session import GraphSession

log = structlog.get_logger(__name__)


def last_ends(session: "GraphSession", call: SyncWorker) -> list[PlacedEnd]:
    """Returns the new ends that a former worker of an agent had listed before it ended.

    Also records what the agent saw last of the worker's other runs. The ends must be proposed
    before the ends that the leader records for all other runs of the worker.
    """
    worker_id = call.ended_worker_id
    worker = session.workers.get(worker_id)
    if worker is not None:
        if worker.agent_id != call.agent_id or worker.is_lost:
            return []
        worker.update_reports(call.ended_worker_runs)
        return worker.receive_ends(call.ended_worker_ends, session.now_s())
    if session.leader.state.graphs.agents.get(worker_id) != call.agent_id:
        return []
    # The worker belonged to an earlier leader's term; the agent may repeat the call.
    ordered = session.ordered_runs.get(worker_id, {})
    return [PlacedEnd(end, worker_id) for end in call.ended_worker_ends if end.run in ordered]


def end_replaced_workers(session: "GraphSession", agent_id: str, worker_id: str) -> None:
    """Marks workers on which an earlier leader ordered runs and which the agent replaced."""
    agents = session.leader.state.graphs.agents
    for former_id in session.ordered_runs:
        has_not_called = former_id != worker_id and former_id not in session.workers
        if (
            has_not_called
            and agents.get(former_id) == agent_id
            and former_id not in session.replaced_workers
        ):
            session.replaced_workers.add(former_id)
            log.info("worker ended", worker=former_id, agent=agent_id, successor=worker_id)
