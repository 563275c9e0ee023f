"""What must hold of gangs at every moment, as seen at the workers."""

from collections.abc import Mapping

from cicadatray.internal.control.leases import LEASE_EXPIRY_S
from cover.control.gangs.shared_log import SharedLog
from cover.control.gangs.simulated_worker import FINISHED, RUNNING, SimulatedWorker

ELECTION_S = 2.0
PARTIAL_BOUND_S = 2 * LEASE_EXPIRY_S
BOUND_OF_ELECTION_S = LEASE_EXPIRY_S + ELECTION_S

Gang = tuple[str, int]


class GangChecks:
    """Notes violations in `faults`; raising would end only the task that caused one."""

    __slots__ = ("faults", "leaderless_s", "log", "longest_partial_s", "partial", "workers")

    def __init__(self, log: SharedLog, workers: Mapping[str, SimulatedWorker]) -> None:
        self.log = log
        self.workers = workers
        self.faults: list[str] = []
        # Time without a leader that ended without an election; each election has its own share.
        self.leaderless_s = 0.0
        self.partial: dict[Gang, tuple[float, int, float]] = {}
        self.longest_partial_s = 0.0

    def check_start(self, worker_id: str, gang: Gang) -> None:
        """Checks that the start of the gang has been committed."""
        if gang not in self.log.started:
            self.faults.append(f"{gang} runs on {worker_id} without a committed start")

    def check_capacity(self) -> None:
        """Checks that no accelerator is used twice, and that what runs holds its capacity."""
        for worker in self.workers.values():
            if worker.held() > worker.accelerators:
                held = [(j, t.epoch, t.state) for j, t in worker.tasks.items()]
                self.faults.append(f"{worker.worker_id} is used twice: {held}")
            for job_id, epoch in worker.running():
                entry = self.log.state.jobs.get(job_id)
                gang = entry.gang if entry is not None else None
                if gang is None or gang.epoch != epoch:
                    fault = f"{job_id} of epoch {epoch} runs on {worker.worker_id} when released"
                    self.faults.append(fault)

    def check_partial(self, now_s: float) -> None:
        """Checks that no gang runs partially for longer than the bound."""
        current = self._partial_gangs()
        for gang in [gang for gang in self.partial if gang not in current]:
            del self.partial[gang]
        for gang in current:
            first = (now_s, self.log.elections, self.leaderless_s)
            since_s, elections, leaderless_s = self.partial.setdefault(gang, first)
            bound_s = PARTIAL_BOUND_S + self.leaderless_s - leaderless_s
            bound_s += (self.log.elections - elections) * BOUND_OF_ELECTION_S
            if self.log.elections == elections:
                self.longest_partial_s = max(self.longest_partial_s, now_s - since_s)
            if now_s - since_s > bound_s:
                self.faults.append(f"{gang} runs partially for {now_s - since_s:.1f} s")

    def runs_whole(self, job_id: str) -> bool:
        """Tells whether every member of a job's gang runs."""
        gang = self.log.state.jobs[job_id].gang
        return gang is not None and all(
            self.workers[share.worker_id].state_of(job_id, gang.epoch) == RUNNING
            for share in gang.placement.shares
        )

    def _partial_gangs(self) -> set[Gang]:
        gangs = {gang for worker in self.workers.values() for gang in worker.running()}
        return {gang for gang in gangs if not self._is_whole(gang)}

    def _is_whole(self, gang: Gang) -> bool:
        placement = self.log.placements.get(gang)
        return placement is not None and all(
            self.workers[share.worker_id].state_of(*gang) in (RUNNING, FINISHED)
            for share in placement.shares
        )
