"""Defragmentation: moves checkpointable jobs so that idle blocks join into larger ones."""

from collections.abc import Callable

from cicadatray.scheduling.decision import Decision, MoveJob
from cicadatray.scheduling.job import Job, JobState
from cicadatray.scheduling.move_rules import may_be_moved, move_cost_s
from cicadatray.scheduling.placement import Placement
from cicadatray.scheduling.placement_search import PlacementSearch
from cicadatray.scheduling.run_estimates import RunEstimates
from cicadatray.scheduling.scheduling_state import SchedulingState
from cicadatray.scheduling.unit import Unit

INTERVAL_S = 5.0
MAX_CANDIDATE_UNITS = 12
MAX_JOBS_MOVED = 6
# Larger units are not cleared: ranking all jobs of a large data centre every few seconds costs time
# that grows with the fleet.
MAX_WORKERS_CLEARED = 64
# Upper bound of the time for which a joined block is credited: arrivals soon fill idle capacity.
BENEFIT_HORIZON_S = 3600.0
# Value of starting a waiting job now, in accelerator-seconds per accelerator. Moves that cost more
# than this are not worth it.
WAIT_VALUE_S = 300.0

IsLent = Callable[[Job], bool]


class Compaction:
    """Moves jobs where the accelerator-seconds gained for the large job exceed those lost.

    `gain_weight` scales the gain before it is compared with the cost.
    """

    __slots__ = ("estimates", "gain_weight", "next_decision_s", "search", "state")

    def __init__(
        self,
        state: SchedulingState,
        search: PlacementSearch,
        estimates: RunEstimates,
        weight: float,
    ) -> None:
        self.state = state
        self.search = search
        self.estimates = estimates
        self.gain_weight = weight
        self.next_decision_s = 0.0

    def decide(self, is_lent: IsLent, now_s: float) -> list[Decision]:
        """Returns the moves out of the unit where the gain exceeds the cost by the most."""
        if now_s < self.next_decision_s:
            return []
        self.next_decision_s = now_s + INTERVAL_S
        most_valuable: tuple[float, list[Job]] | None = None
        for unit in self._fragmented_units():
            candidate = self._most_valuable_moves(unit, is_lent, now_s)
            if candidate is not None and (most_valuable is None or candidate[0] > most_valuable[0]):
                most_valuable = candidate
        if most_valuable is None:
            return []
        for job in most_valuable[1]:
            job.state = JobState.STOPPING
        return [MoveJob(job.request.job_id) for job in most_valuable[1]]

    def clear_unit_for(
        self, job: Job, is_lent: IsLent, now_s: float
    ) -> tuple[Unit, list[Job]] | None:
        """Moves jobs to idle capacity elsewhere so that a waiting job fits in one unit.

        Returns the unit and the jobs to move, or None when no set of moves frees enough
        accelerators or is worth its cost.
        """
        shape = job.request.shape
        cheapest: tuple[float, Unit, list[Job]] | None = None
        units = self.state.fleet.units_with_most_idle(shape.scope, MAX_CANDIDATE_UNITS)
        for unit in units:
            clearing = self._find_clearing(unit, shape.accelerators - unit.idle, is_lent, now_s)
            if clearing is not None and (cheapest is None or clearing[0] < cheapest[0]):
                cheapest = (clearing[0], unit, clearing[1])
        if cheapest is None or cheapest[0] > WAIT_VALUE_S * shape.accelerators:
            return None
        for moved in cheapest[2]:
            moved.state = JobState.STOPPING
        return cheapest[1], cheapest[2]

    def _find_clearing(
        self, unit: Unit, missing: int, is_lent: IsLent, now_s: float
    ) -> tuple[float, list[Job]] | None:
        """Returns the cost and the jobs of moves that free the missing accelerators of a unit."""
        unit_workers = usable_workers(unit)
        chosen: list[Job] = []
        destinations: list[Placement] = []
        for job in self._movable_jobs(unit, unit_workers, is_lent, now_s):
            if missing <= 0:
                break
            destination = self.search.find(job.request.shape, unit_workers | job.failed_workers)
            if destination is not None:
                self.state.fleet.occupy(destination)
                destinations.append(destination)
                chosen.append(job)
                missing -= self._accelerators_inside(job, unit_workers)
        for placement in destinations:
            self.state.fleet.vacate(placement)
        if missing > 0 or not chosen:
            return None
        return sum(move_cost(job) for job in chosen), chosen

    def _fragmented_units(self) -> list[Unit]:
        """Returns the units with the most idle accelerators beyond whole large jobs."""
        large = self.search.large_job
        units = self.state.fleet.units_with_most_idle(large.scope, 2 * MAX_CANDIDATE_UNITS)
        units = [unit for unit in units if unit.idle % large.accelerators > 0]
        units.sort(key=lambda unit: (-(unit.idle % large.accelerators), unit.order))
        return units[:MAX_CANDIDATE_UNITS]

    def _most_valuable_moves(
        self, unit: Unit, is_lent: IsLent, now_s: float
    ) -> tuple[float, list[Job]] | None:
        """Returns the most valuable set of jobs to move out of a unit, with its gain minus cost."""
        unit_workers = usable_workers(unit)
        chosen: list[Job] = []
        moved_placements: list[tuple[Placement, Placement]] = []
        most_valuable: tuple[float, list[Job]] | None = None
        stranded_change = 0
        benefit_s = BENEFIT_HORIZON_S
        for job in self._movable_jobs(unit, unit_workers, is_lent, now_s):
            if len(chosen) >= MAX_JOBS_MOVED:
                break
            destination = self.search.find(job.request.shape, unit_workers | job.failed_workers)
            if destination is None or job.placement is None:
                continue
            stranded_change += self.search.stranded_change(destination)
            self.state.fleet.occupy(destination)
            stranded_change += self.search.stranded_change(job.placement, -1)
            self.state.fleet.vacate(job.placement)
            moved_placements.append((destination, job.placement))
            chosen.append(job)
            benefit_s = min(benefit_s, self.estimates.remaining_s(job, now_s))
            cost = sum(move_cost(job) for job in chosen)
            value = -self.gain_weight * stranded_change * benefit_s - cost
            if value > 0 and (most_valuable is None or value > most_valuable[0]):
                most_valuable = (value, list(chosen))
        for destination, origin in moved_placements:
            self.state.fleet.vacate(destination)
            self.state.fleet.occupy(origin)
        return most_valuable

    def _movable_jobs(
        self, unit: Unit, unit_workers: set[str], is_lent: IsLent, now_s: float
    ) -> list[Job]:
        jobs: dict[str, Job] = {}
        if len(unit_workers) > MAX_WORKERS_CLEARED:
            return []
        for worker_id in unit_workers:
            jobs.update(self.state.jobs_by_worker.get(worker_id, {}))
        movable = [
            job
            for job in jobs.values()
            if job.request.checkpointable and is_lent(job) and may_be_moved(job, now_s)
        ]
        return sorted(
            movable,
            key=lambda job: (
                job.request.shape.accelerators
                / max(1, self._accelerators_inside(job, unit_workers)),
                -self._accelerators_inside(job, unit_workers),
                job.sequence,
            ),
        )

    def _accelerators_inside(self, job: Job, unit_workers: set[str]) -> int:
        shares = job.placement.shares if job.placement is not None else ()
        return sum(share.accelerators for share in shares if share.worker_id in unit_workers)


def move_cost(job: Job) -> float:
    """Returns the accelerator-seconds of progress that a move costs the job."""
    return move_cost_s(job) * job.request.shape.accelerators


def usable_workers(unit: Unit) -> set[str]:
    """Returns the workers of a unit in service that are not reserved for another job."""
    return {w.key for w in unit.workers() if w.in_service and w.reserving_job_id is None}
