"""What is left in evacuated data centres, as the leader sees it."""

from cicadatray.internal.control.graphs.graph_session import GraphSession
from cicadatray.internal.control.graphs.pool_capacities import build_pools
from cicadatray.internal.control.leases import AGENT_TIMEOUT_S
from cicadatray.internal.wire.messages.evacuation_messages import (
    Evacuation,
    EvacuationProgress,
    EvacuationsReply,
)


def evacuation_progress(session: GraphSession, evacuation: Evacuation) -> EvacuationProgress:
    """Returns an evacuation with the workers and runs that are left there.

    Both are counted for task graphs and for shape jobs. A new leader does not count the runs of a
    worker before its agent has called.
    """
    data_centre = evacuation.data_centre
    workers = {
        worker_id: worker
        for worker_id, worker in session.workers.items()
        if worker.offer.data_centre == data_centre
    }
    runs = sum(len(session.ordered_runs.get(worker_id, {})) for worker_id in workers)
    inventory = _inventory_workers(session, data_centre)
    for entry in session.leader.state.jobs.values():
        if entry.gang is not None:
            runs += sum(share.worker_id in inventory for share in entry.gang.placement.shares)
    present = {worker_id for worker_id, worker in workers.items() if not worker.is_lost}
    return EvacuationProgress(evacuation, len(present | inventory), runs)


def current_evacuations(session: GraphSession) -> tuple[EvacuationProgress, ...]:
    """Returns all evacuations in force."""
    active = session.leader.state.evacuations.active
    return tuple(evacuation_progress(session, evacuation) for evacuation in active.values())


def evacuations_reply(
    session: GraphSession, data_centre: str = "", is_repeated: bool = False
) -> EvacuationsReply:
    """Returns the reply to an order for a data centre, or to a read without one."""
    return EvacuationsReply(
        evacuations=current_evacuations(session),
        is_repeated=is_repeated,
        is_announced=not data_centre or _is_announced(session, data_centre),
        unmet_accounts=unmet_accounts(session),
    )


def unmet_accounts(session: GraphSession) -> tuple[str, ...]:
    """Returns the accounts whose guarantees no longer fit the workers that are left.

    For task graphs these are all accounts with a guarantee as soon as the sum of the guarantees
    exceeds the accelerators of all pools, because no account takes precedence over another. Nothing
    is known while nothing is evacuated or before the agents had time to call this leader. Those of
    shape jobs announce themselves less often, and a worker without an agent counts as lost.
    """
    if not session.leader.state.evacuations.active:
        return ()
    at_risk: set[str] = set()
    if session.now_s() - session.leader.started_s >= AGENT_TIMEOUT_S:
        blocks = session.leader.scheduler.guarantees_at_risk()
        at_risk |= {block.client_account for block in blocks}
    if session.knows_workers():
        at_risk |= _unmet_by_pools(session)
    return tuple(sorted(at_risk))


def _unmet_by_pools(session: GraphSession) -> set[str]:
    guaranteed = {
        name: count for name, count in session.guaranteed_accelerators().items() if count > 0
    }
    left = sum(pool.total.accelerators for pool in build_pools(session).values())
    return set(guaranteed) if sum(guaranteed.values()) > left else set()


def _is_announced(session: GraphSession, data_centre: str) -> bool:
    """Returns whether a worker of a data centre is known."""
    offers = (worker.offer for worker in session.workers.values())
    is_offered = any(offer.data_centre == data_centre for offer in offers)
    return is_offered or bool(_inventory_workers(session, data_centre))


def _inventory_workers(session: GraphSession, data_centre: str) -> set[str]:
    workers = session.leader.state.configuration.inventory.workers
    return {worker.worker_id for worker in workers if worker.data_centre == data_centre}
