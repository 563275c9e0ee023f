"""The fragmentation of idle capacity."""

from cicadatray.internal.control.leader_session import LeaderSession
from cicadatray.scheduling.stranded import stranded_fraction


def current_fragmentation(session: LeaderSession) -> float:
    """Returns the share of idle accelerators that cannot be used by the configured large job.

    Only workers whose agent holds a lease count.
    """
    configuration = session.state.configuration
    now_s = session.now_s()
    idle: dict[str, int] = {}
    for worker in configuration.inventory.workers:
        agent = session.directory.by_worker.get(worker.worker_id)
        if agent is not None and not agent.is_lease_expired(now_s):
            idle[worker.worker_id] = worker.accelerators
    for entry in session.state.jobs.values():
        for share in entry.gang.placement.shares if entry.gang else ():
            if share.worker_id in idle:
                idle[share.worker_id] -= share.accelerators
    return stranded_fraction(configuration.inventory, idle, configuration.rules.large_job)
