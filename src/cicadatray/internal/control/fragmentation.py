"""The fragmentation of the capacity that is idle at this moment."""

from cicadatray.internal.control.leader_session import LeaderSession
from cicadatray.scheduling.stranded import stranded_fraction


def present_fragmentation(session: LeaderSession) -> float:
    """Returns the share of idle accelerators that cannot serve the large job."""
    configuration = session.state.configuration
    now_s = session.now_s()
    idle: dict[str, int] = {}
    for worker in configuration.inventory.workers:
        agent = session.directory.by_worker.get(worker.worker_id)
        if agent is not None and not agent.lease_is_over(now_s):
            idle[worker.worker_id] = worker.accelerators
    for entry in session.state.jobs.values():
        for share in entry.gang.placement.shares if entry.gang else ():
            if share.worker_id in idle:
                idle[share.worker_id] -= share.accelerators
    return stranded_fraction(configuration.inventory, idle, configuration.rules.large_job)
