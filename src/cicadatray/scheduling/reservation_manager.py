"""Reserves workers for jobs that smaller ones would starve."""

from collections.abc import Callable

from cicadatray.scheduling.decision import Decision, MoveJob
from cicadatray.scheduling.job import Job, JobState
from cicadatray.scheduling.job_reservation import JobReservation
from cicadatray.scheduling.move_rules import may_be_moved
from cicadatray.scheduling.placement import Placement, WorkerShare
from cicadatray.scheduling.run_estimates import RunEstimates
from cicadatray.scheduling.scheduling_state import SchedulingState
from cicadatray.scheduling.shape import Scope
from cicadatray.scheduling.unit import Unit

MAX_CANDIDATE_RACKS = 32
# A job that is moved off reserved workers has to wait again, so a displaceable job counts as ending
# after this delay: workers that become idle sooner without moves are preferred.
MOVE_DELAY_S = 30.0
# Checkpoint, stop and release of moved jobs take about 3 s. Clearing is abandoned after this time,
# because the workers stay idle meanwhile.
CLEARING_TIMEOUT_S = 10.0
# Delay after an abandoned clearing, doubled with each one up to the maximum.
CLEARING_RETRY_DELAY_S = 60.0
MAX_CLEARING_RETRY_DELAY_S = 1800.0

Place = Callable[[Job, Placement], None]


class ReservationManager:
    """Hides the idle capacity of reserved workers from all other jobs until their job fits.

    There is at most one reservation per `racks_per_reservation` racks, but always one in a smaller
    fleet. Reservations have disjoint workers and none waits for another, so partly drained ones
    cannot deadlock. `is_lent` returns whether a job runs on lent capacity and may be preempted.
    `by_job` holds the reservations by the identifiers of their jobs.
    """

    __slots__ = ("by_job", "estimates", "is_lent", "racks_per_reservation", "state")

    def __init__(
        self,
        state: SchedulingState,
        estimates: RunEstimates,
        is_lent: Callable[[Job], bool],
        racks_per_reservation: int,
    ) -> None:
        self.state = state
        self.estimates = estimates
        self.is_lent = is_lent
        self.racks_per_reservation = racks_per_reservation
        self.by_job: dict[str, JobReservation] = {}

    def place_ready(self, place: Place, now_s: float) -> None:
        """Places jobs whose reserved workers are idle; removes reservations that became useless."""
        for reservation in list(self.by_job.values()):
            job = reservation.job
            needed = job.request.shape.accelerators
            capacity = sum(worker.installed for worker in reservation.workers if worker.in_service)
            if job.state is not JobState.WAITING or job.cancelled or capacity < needed:
                self.remove(reservation)
            elif sum(worker.unclaimed for worker in reservation.workers) >= needed:
                self.remove(reservation)
                place(job, allocate_unclaimed(reservation.workers, needed))
            elif is_clearing_overdue(reservation, now_s):
                self._abandon_clearing(reservation, now_s)

    def reserve_while_clearing(self, job: Job, unit: Unit, moved: list[Job], now_s: float) -> None:
        """Reserves workers of the unit for a short time while `moved` jobs are moved off them."""
        capacities = [
            (worker.unclaimed + sum(accelerators_on(other, worker) for other in moved), worker)
            for worker in unit.workers()
            if worker.reserving_job_id is None
        ]
        chosen: list[Unit] = []
        reachable = 0
        for capacity, worker in sorted(capacities, key=lambda pair: (-pair[0], pair[1].order)):
            if reachable < job.request.shape.accelerators:
                chosen.append(worker)
                reachable += capacity
        self._add_reservation(JobReservation(job, chosen, now_s))

    def remove(self, reservation: JobReservation) -> None:
        """Removes a reservation, so that all jobs may use its workers again."""
        del self.by_job[reservation.job.request.job_id]
        for worker in reservation.workers:
            self.state.fleet.set_reserving_job(worker, None)

    def reserve_for(self, candidates: list[Job], now_s: float) -> None:
        """Creates reservations for the candidates in this order, up to the limit of the fleet."""
        limit = max(1, len(self.state.fleet.racks) // self.racks_per_reservation)
        for job in candidates:
            if len(self.by_job) >= limit:
                return
            if job.request.job_id not in self.by_job and job.clearing_not_before_s <= now_s:
                self._create_reservation(job, now_s)

    def backfill(self, job: Job) -> Placement | None:
        """Places a checkpointable job on a reserved worker, where it runs until `drain` moves it.

        Returns None for other jobs and where no reserved worker has enough idle accelerators.
        """
        request = job.request
        if not request.checkpointable or request.shape.scope is not Scope.WORKER:
            return None
        for reservation in self.by_job.values():
            if reservation.clearing_since_s is not None:
                continue
            for worker in reservation.workers:
                if worker.unclaimed >= request.shape.accelerators:
                    reservation.backfilled[request.job_id] = job
                    share = WorkerShare(worker.key, request.shape.accelerators)
                    return Placement((share,))
        return None

    def drain(self, now_s: float) -> list[Decision]:
        """Moves checkpointable jobs off reserved workers where that frees enough accelerators."""
        decisions: list[Decision] = []
        for reservation in self.by_job.values():
            movable: dict[str, Job] = {}
            missing = reservation.job.request.shape.accelerators
            for worker in reservation.workers:
                missing -= worker.unclaimed
                for job_id, job in self.state.jobs_by_worker.get(worker.key, {}).items():
                    if job.state is JobState.STOPPING:
                        missing -= accelerators_on(job, worker)
                    elif self._may_be_moved_out(job, reservation, now_s):
                        movable[job_id] = job
            chosen = self._choose_jobs_to_move(reservation, movable, missing)
            if (chosen or missing <= 0) and reservation.clearing_since_s is None:
                reservation.clearing_since_s = now_s
            for job in chosen:
                job.state = JobState.STOPPING
                decisions.append(MoveJob(job.request.job_id))
        return decisions

    def _abandon_clearing(self, reservation: JobReservation, now_s: float) -> None:
        """Removes the reservation and delays the next clearing for its job."""
        job = reservation.job
        delay_s = CLEARING_RETRY_DELAY_S * 2.0 ** min(job.failed_clearings, 10)
        job.clearing_not_before_s = now_s + min(delay_s, MAX_CLEARING_RETRY_DELAY_S)
        job.failed_clearings += 1
        self.remove(reservation)

    def _may_be_moved_out(self, job: Job, reservation: JobReservation, now_s: float) -> bool:
        if job.request.job_id in reservation.backfilled:
            return may_be_moved(job, now_s)
        return self._may_be_moved_for(job, reservation.job, now_s)

    def _may_be_moved_for(self, job: Job, waiting: Job, now_s: float) -> bool:
        """Returns whether a running job may be moved for a waiting one, being smaller or later."""
        smaller = 2 * job.request.shape.accelerators <= waiting.request.shape.accelerators
        return (
            job.request.checkpointable
            and (smaller or job.sequence > waiting.sequence)
            and may_be_moved(job, now_s)
            and self.is_lent(job)
        )

    def _choose_jobs_to_move(
        self, reservation: JobReservation, movable: dict[str, Job], missing: int
    ) -> list[Job]:
        """Returns jobs that free the missing accelerators, or none when they cannot free enough."""
        chosen: list[Job] = []
        usable = [job for job in movable.values() if job.is_active and self.is_lent(job)]
        for job in sorted(usable, key=lambda job: -self._accelerators_freed(reservation, job)):
            if missing <= 0:
                break
            chosen.append(job)
            missing -= self._accelerators_freed(reservation, job)
        return chosen if missing <= 0 else []

    def _accelerators_freed(self, reservation: JobReservation, job: Job) -> int:
        return sum(accelerators_on(job, worker) for worker in reservation.workers)

    def _create_reservation(self, job: Job, now_s: float) -> None:
        earliest: tuple[float, list[Unit]] | None = None
        for workers in self._candidate_areas(job.request.shape.scope):
            candidate = self._earliest_workers(workers, job, now_s)
            if candidate is not None and (earliest is None or candidate[0] < earliest[0]):
                earliest = candidate
        if earliest is None:
            return
        self._add_reservation(JobReservation(job, earliest[1]))

    def _add_reservation(self, reservation: JobReservation) -> None:
        self.by_job[reservation.job.request.job_id] = reservation
        for worker in reservation.workers:
            self.state.fleet.set_reserving_job(worker, reservation.job.request.job_id)

    def _candidate_areas(self, scope: Scope) -> list[list[Unit]]:
        """Returns the workers of each candidate unit, from the racks with the most idle first."""
        areas: list[list[Unit]] = []
        for key, data_centre in self.state.fleet.data_centres.items():
            if scope is Scope.DATA_CENTRE:
                areas.append(data_centre.workers())
                continue
            racks = self.state.fleet.rack_indexes[key].most_idle_first(MAX_CANDIDATE_RACKS)
            for rack in racks:
                if scope is Scope.RACK:
                    areas.append(rack.workers())
                else:
                    areas.extend([worker] for worker in rack.workers())
        return areas

    def _earliest_workers(
        self, workers: list[Unit], waiting: Job, now_s: float
    ) -> tuple[float, list[Unit]] | None:
        """Returns the estimated wait until enough of the workers are idle, and these workers."""
        usable = [w for w in workers if w.in_service and w.reserving_job_id is None]
        expected_ends: list[tuple[float, int, int]] = []
        for position, worker in enumerate(usable):
            expected_ends.append((0.0, position, worker.unclaimed))
            for job in self.state.jobs_by_worker.get(worker.key, {}).values():
                remaining_s = self.estimates.remaining_s(job, now_s)
                if self._may_be_moved_for(job, waiting, now_s):
                    remaining_s = min(MOVE_DELAY_S, remaining_s)
                expected_ends.append((remaining_s, position, accelerators_on(job, worker)))
        chosen: dict[int, Unit] = {}
        reachable = 0
        for wait_s, position, accelerators in sorted(expected_ends):
            if accelerators <= 0:
                continue
            chosen[position] = usable[position]
            reachable += accelerators
            if reachable >= waiting.request.shape.accelerators:
                return wait_s, list(chosen.values())
        return None


def is_clearing_overdue(reservation: JobReservation, now_s: float) -> bool:
    """Returns whether the clearing of the reservation has taken too long."""
    since_s = reservation.clearing_since_s
    return since_s is not None and now_s - since_s >= CLEARING_TIMEOUT_S


def accelerators_on(job: Job, worker: Unit) -> int:
    """Returns how many accelerators of the worker the job holds."""
    shares = job.placement.shares if job.placement is not None else ()
    return sum(share.accelerators for share in shares if share.worker_id == worker.key)


def allocate_unclaimed(workers: list[Unit], needed: int) -> Placement:
    """Allocates idle accelerators of reserved workers, those with the fewest first."""
    shares: list[WorkerShare] = []
    for worker in sorted(workers, key=lambda worker: (worker.unclaimed, worker.order)):
        taken = min(needed, worker.unclaimed)
        if taken > 0:
            shares.append(WorkerShare(worker.key, taken))
            needed -= taken
    return Placement(tuple(shares))
