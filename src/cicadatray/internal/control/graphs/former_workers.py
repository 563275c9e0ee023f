"""Workers that their agents have replaced by other ones."""

from typing import TYPE_CHECKING

import structlog

from cicadatray.internal.wire.messages.graph_messages import PlacedEnd, SyncWorker
from cicadatray.scheduling.taskgraphs.worker_end import WorkerEnd

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


def end_former_workers(session: "GraphSession", agent_id: str, worker_id: str) -> None:
    """Marks the workers that an agent has offered before, to this leader or to earlier ones."""
    for former_id in [name for name in session.workers if name != worker_id]:
        end_worker(session, agent_id, former_id, WorkerEnd.CRASHED)
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


def has_successor(session: "GraphSession", worker_id: str) -> bool:
    """Returns whether this is a former worker, in a delayed call of a killed agent process."""
    if worker_id in session.workers:
        return False
    successors = session.leader.state.graphs.successors(worker_id)
    return any(name in session.ordered_runs or name in session.workers for name in successors)


def end_worker(session: "GraphSession", agent_id: str, worker_id: str, cause: WorkerEnd) -> None:
    """Marks a former worker of an agent as lost.

    An agent offers one worker at a time; any former one has ended with all its runs.
    """
    worker = session.workers.get(worker_id)
    if worker is None or worker.agent_id != agent_id or worker.is_lost:
        return
    # A worker that drains may leave without a notice that reaches its agent.
    cause = WorkerEnd.WITHDRAWN if worker.offer.is_draining else cause
    worker.end = cause
    log.info("worker ended", worker=worker_id, agent=agent_id, cause=cause.value)
    session.wake.set()
