"""Moves checkpointable jobs where that joins idle blocks into one for the large job."""

from collections.abc import Callable

from cicadatray.scheduling.decision import Decision, MoveJob
from cicadatray.scheduling.job import Job, JobState
from cicadatray.scheduling.placement import Placement
from cicadatray.scheduling.placement_search import PlacementSearch
from cicadatray.scheduling.run_estimates import RunEstimates
from cicadatray.scheduling.scheduling_state import SchedulingState
from cicadatray.scheduling.shape import Scope
from cicadatray.scheduling.unit import Unit

INTERVAL_S = 30.0
UNITS_LOOKED_AT = 16
JOBS_PER_MOVE = 3
SHORTEST_RUN_S = 300.0  # a job is not moved again before it has run this long
MOST_STOPS = 4  # and not more often than this, so that it ends
# A move costs its job the time to checkpoint, requeue and restart on all its accelerators.
MOVE_COST_S = 60.0
# A joined block is not counted as useful for longer than this: arrivals soon fill what is idle.
BENEFIT_HORIZON_S = 3600.0

Lent = Callable[[Job], bool]


class Compaction:
    """Weighs accelerator-seconds that become usable for the large job against those lost."""

    __slots__ = ("estimates", "next_s", "search", "state", "weight")

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
        self.weight = weight
        self.next_s = 0.0

    def decide(self, lent: Lent, now_s: float) -> list[Decision]:
        """Returns the moves of the unit where the gain exceeds the cost the most."""
        if now_s < self.next_s:
            return []
        self.next_s = now_s + INTERVAL_S
        best: tuple[float, list[Job]] | None = None
        for unit in self._units():
            found = self._moves(unit, lent, now_s)
            if found is not None and (best is None or found[0] > best[0]):
                best = found
        if best is None:
            return []
        for job in best[1]:
            job.state = JobState.STOPPING
        return [MoveJob(job.request.job_id) for job in best[1]]

    def _units(self) -> list[Unit]:
        """Returns units whose idle remnant is the largest."""
        large = self.search.large_job
        fleet = self.state.fleet
        if large.scope is Scope.DATA_CENTRE:
            units = list(fleet.data_centres.values())
        else:
            indexes = fleet.indexes.values()
            units = [rack for index in indexes for rack in index.descending(2 * UNITS_LOOKED_AT)]
        if large.scope is Scope.WORKER:
            units = [worker for rack in units for worker in rack.children.values()]
        units = [unit for unit in units if unit.idle % large.accelerators > 0]
        units.sort(key=lambda unit: (-(unit.idle % large.accelerators), unit.order))
        return units[:UNITS_LOOKED_AT]

    def _moves(self, unit: Unit, lent: Lent, now_s: float) -> tuple[float, list[Job]] | None:
        size = self.search.large_job.accelerators
        remnant = unit.idle % size
        missing = size - remnant
        if unit.capacity < unit.idle + missing:
            return None
        inside = {worker.key for worker in unit.workers()}
        chosen: list[Job] = []
        taken: list[Placement] = []
        for job in self._movable(unit, inside, lent, now_s):
            if missing <= 0 or len(chosen) >= JOBS_PER_MOVE:
                break
            destination = self.search.find(job.request.shape, inside | job.failed_workers)
            if destination is None or self.search.large_jobs_lost(destination) > 0:
                continue
            self.state.fleet.occupy(destination)
            taken.append(destination)
            chosen.append(job)
            missing -= self._gain(job, inside)
        for placement in taken:
            self.state.fleet.vacate(placement)
        if missing > 0:
            return None
        lasts_s = min(self.estimates.remaining_s(job, now_s) for job in chosen)
        gain = self.weight * remnant * min(BENEFIT_HORIZON_S, lasts_s)
        cost = MOVE_COST_S * sum(job.request.shape.accelerators for job in chosen)
        return (gain - cost, chosen) if gain > cost else None

    def _movable(self, unit: Unit, inside: set[str], lent: Lent, now_s: float) -> list[Job]:
        jobs: dict[str, Job] = {}
        for worker_id in inside:
            jobs.update(self.state.on_worker.get(worker_id, {}))
        movable = [
            job
            for job in jobs.values()
            if job.state is JobState.RUNNING
            and job.request.checkpointable
            and lent(job)
            and job.stops < MOST_STOPS
            and now_s - job.placed_s >= SHORTEST_RUN_S
        ]
        return sorted(
            movable,
            key=lambda job: (
                job.request.shape.accelerators / max(1, self._gain(job, inside)),
                -self._gain(job, inside),
                job.sequence,
            ),
        )

    def _gain(self, job: Job, inside: set[str]) -> int:
        shares = job.placement.shares if job.placement is not None else ()
        return sum(share.accelerators for share in shares if share.worker_id in inside)
