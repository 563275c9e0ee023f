"""Invariants of gangs, checked on the tasks of the workers."""

from collections.abc import Mapping

from cicadatray.internal.control.leases import LEASE_EXPIRY_S
from cover.control.gangs.shared_log import SharedLog
from cover.control.gangs.simulated_worker import FINISHED, RUNNING, SimulatedWorker

ELECTION_S = 2.0
PARTIAL_BOUND_S = 2 * LEASE_EXPIRY_S
ELECTION_BOUND_S = LEASE_EXPIRY_S + ELECTION_S

# A gang by its job identifier and epoch.
Gang = tuple[str, int]


class GangChecks:
    """Collects violations in `violations`; an exception would end only the task that raised it."""

    __slots__ = ("leaderless_s", "log", "longest_partial_s", "partial", "violations", "workers")

    def __init__(self, log: SharedLog, workers: Mapping[str, SimulatedWorker]) -> None:
        self.log = log
        self.workers = workers
        self.violations: list[str] = []
        # Leaderless time that is not covered by the bound of an election.
        self.leaderless_s = 0.0
        # For each partial gang the time since when it is partial, and the number of elections and
        # `leaderless_s` at that time.
        self.partial: dict[Gang, tuple[float, int, float]] = {}
        self.longest_partial_s = 0.0

    def check_start(self, worker_id: str, gang: Gang) -> None:
        """Checks that the start of the gang has been committed."""
        if gang not in self.log.started:
            self.violations.append(f"{gang} runs on {worker_id} without a committed start")

    def check_capacity(self) -> None:
        """Checks that no worker is overcommitted, and that running tasks hold their capacity."""
        for worker in self.workers.values():
            if worker.held_accelerators() > worker.accelerators:
                held = [(j, t.epoch, t.state) for j, t in worker.tasks.items()]
                self.violations.append(f"{worker.worker_id} is overcommitted: {held}")
            for job_id, epoch in worker.running_tasks():
                entry = self.log.state.jobs.get(job_id)
                gang = entry.gang if entry is not None else None
                if gang is None or gang.epoch != epoch:
                    violation = (
                        f"{job_id} of epoch {epoch} runs on {worker.worker_id} after its release"
                    )
                    self.violations.append(violation)

    def check_partial(self, now_s: float) -> None:
        """Checks that no gang runs partially for longer than the bound."""
        current = self._partial_gangs()
        for gang in [gang for gang in self.partial if gang not in current]:
            del self.partial[gang]
        for gang in current:
            current_start = (now_s, self.log.elections, self.leaderless_s)
            since_s, elections, leaderless_s = self.partial.setdefault(gang, current_start)
            bound_s = PARTIAL_BOUND_S + self.leaderless_s - leaderless_s
            bound_s += (self.log.elections - elections) * ELECTION_BOUND_S
            if self.log.elections == elections:
                self.longest_partial_s = max(self.longest_partial_s, now_s - since_s)
            if now_s - since_s > bound_s:
                self.violations.append(f"{gang} runs partially for {now_s - since_s:.1f} s")

    def runs_completely(self, job_id: str) -> bool:
        """Returns whether every member of a job's gang runs."""
        gang = self.log.state.jobs[job_id].gang
        return gang is not None and all(
            self.workers[share.worker_id].state_of(job_id, gang.epoch) == RUNNING
            for share in gang.placement.shares
        )

    def _partial_gangs(self) -> set[Gang]:
        gangs = {gang for worker in self.workers.values() for gang in worker.running_tasks()}
        return {gang for gang in gangs if not self._is_complete(gang)}

    def _is_complete(self, gang: Gang) -> bool:
        placement = self.log.placements.get(gang)
        return placement is not None and all(
            self.workers[share.worker_id].state_of(*gang) in (RUNNING, FINISHED)
            for share in placement.shares
        )
