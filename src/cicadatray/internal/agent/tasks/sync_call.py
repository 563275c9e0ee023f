"""An agent's report to control."""

from typing import TYPE_CHECKING

from cicadatray.internal.agent.tasks import sync_timing
from cicadatray.internal.wire.messages.graph_messages import SyncWorker, WorkerOffer
from cicadatray.scheduling.taskgraphs.worker_end import WorkerEnd

if TYPE_CHECKING:
    from cicadatray.internal.agent.tasks.task_agent import TaskAgent


def build_sync_call(agent: "TaskAgent", sequence: int, offer: WorkerOffer | None) -> SyncWorker:
    """Returns the call that reports all that the agent knows of its worker."""
    ended = agent.ended_worker
    return SyncWorker(
        agent_id=agent.agent_id,
        agent_incarnation=agent.incarnation,
        sequence=sequence,
        offer=offer,
        ended_worker_id=ended.worker_id if ended else "",
        ended_worker_cause=ended.cause if ended else WorkerEnd.CRASHED,
        ended_worker_ends=ended.ends if ended else (),
        ended_worker_runs=ended.runs if ended else (),
        is_worker_reachable=agent.is_worker_reachable,
        runs=agent.table.reported_runs(),
        ends=agent.table.reported_ends(),
        wait_s=sync_timing.WAIT_S if agent.is_control_answering else 0.0,
    )
