"""The condition under which a leader may renew the lease of a worker."""

from typing import TYPE_CHECKING

import structlog

from cicadatray.internal.control.graphs.graph_session import GraphSession
from cicadatray.internal.control.graphs.worker_session import WorkerSession
from cicadatray.internal.control.leader_session import LeaderSession
from cicadatray.internal.wire.messages.silence_messages import ClearSilence

if TYPE_CHECKING:
    from cicadatray.internal.control.control_daemon import ControlDaemon

log = structlog.get_logger(__name__)


async def confirm_renewal(
    daemon: "ControlDaemon", leader: LeaderSession, session: GraphSession, worker: WorkerSession
) -> bool:
    """Returns whether a worker's lease may be renewed, after clearing its silence if needed.

    The caller must renew the lease before it awaits anything else. A lease that is granted while a
    silence is recorded, or may still be committed, would count as expired too early under the next
    leader.

    Raises:
        NotLeaderError: this instance does not lead.
        LeadershipLostError: the silence could not be cleared in time.
    """
    worker.pending_renewals += 1
    try:
        while (await daemon.require_leader_session()) is leader:
            if not session.has_silence(worker.offer.worker_id):
                return True
            await _clear_silence(session, worker)
        return False
    finally:
        worker.pending_renewals -= 1


async def _clear_silence(session: GraphSession, worker: WorkerSession) -> None:
    worker_id = worker.offer.worker_id
    number = session.proposed_silences.find(worker_id)
    silence_s = session.leader.state.graphs.silences.get(worker_id)
    await session.leader.propose(ClearSilence(worker_id=worker_id))
    session.proposed_silences.settle_worker(worker_id, number)
    log.info(
        "worker silence cleared",
        worker=worker_id,
        agent=worker.agent_id,
        silence_s=None if silence_s is None else round(silence_s, 1),
    )
