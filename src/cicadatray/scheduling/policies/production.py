"""The common base of the two production policies."""

from cicadatray.scheduling.compaction import Compaction
from cicadatray.scheduling.decision import Decision, FailJob, MoveJob, PlaceJob
from cicadatray.scheduling.explanation import Explanation
from cicadatray.scheduling.gang_outcome import GangOutcome
from cicadatray.scheduling.guarantee_block import GuaranteeBlock
from cicadatray.scheduling.guarantee_plan import GuaranteePlan
from cicadatray.scheduling.job import Job, JobState
from cicadatray.scheduling.ordinary_round import OrdinaryRound
from cicadatray.scheduling.placement import Placement
from cicadatray.scheduling.placement_search import PlacementSearch
from cicadatray.scheduling.policies.fault_handler import FaultHandler
from cicadatray.scheduling.policies.policy import SchedulingPolicy
from cicadatray.scheduling.policies.waiting_explanation import explain_waiting
from cicadatray.scheduling.reservation_manager import ReservationManager
from cicadatray.scheduling.restored_bindings import bind_by_moving
from cicadatray.scheduling.run_estimates import RunEstimates
from cicadatray.scheduling.scheduling_state import SchedulingState
from cicadatray.scheduling.share_ledger import ShareLedger
from cicadatray.scheduling.unit import Unit
from cicadatray.scheduling.urgent_claims import UrgentClaims
from cicadatray.scheduling.waiting_queue import WaitingQueue

CLEARING_INTERVAL_S = 5.0
MAX_CLEARING_CANDIDATES = 4


class ProductionPolicy(SchedulingPolicy):
    """Fulfils guarantees, shares the remaining capacity and preserves large idle blocks.

    A job that has waited for `reservation_delay_s` gets a reservation of workers; there is at most
    one reservation per `racks_per_reservation` racks. `compaction_weight` scales the gain of moving
    jobs. Each accelerator of a gang improves its rank by `size_bonus_s`, as if it had been
    submitted that much earlier.
    """

    __slots__ = (
        "claims",
        "compaction",
        "estimates",
        "failure_reasons",
        "faults",
        "ledger",
        "next_clearing_s",
        "plan",
        "queue",
        "reservations",
        "search",
    )
    reservation_delay_s = 2 * 3600.0
    racks_per_reservation = 3
    size_bonus_s = 400.0
    compaction_weight = 4.0

    def __init__(self, state: SchedulingState) -> None:
        super().__init__(state)
        self.plan = GuaranteePlan(state.fleet, state.rules.guarantees)
        self.queue = WaitingQueue()
        self.claims = UrgentClaims(state, self.plan, self.queue)
        self.search = PlacementSearch(state.fleet, state.rules.large_job)
        self.ledger = ShareLedger(state.rules)
        self.estimates = RunEstimates()
        self.failure_reasons: dict[str, str] = {}
        self.next_clearing_s = 0.0
        self.faults = FaultHandler(state, self.plan)
        self.reservations = ReservationManager(
            state, self.estimates, self._is_lent, self.racks_per_reservation
        )
        self.compaction = Compaction(state, self.search, self.estimates, self.compaction_weight)

    def decide(self, now_s: float) -> list[Decision]:
        """Repairs the plan, serves urgent claims and then places ordinary jobs on idle capacity."""
        decisions: list[Decision] = []

        def place(job: Job, placement: Placement) -> None:
            self._place(job, placement, now_s, decisions)

        self.faults.observe_runs(now_s)
        # This may return workers to the plan, whose guarantees take precedence over ordinary jobs.
        trials = self.faults.choose_trials(self.queue, now_s)
        self.plan.repair(self.state.jobs)
        self._fail_jobs(decisions)
        decisions += self.claims.decide(now_s)
        for job, placement in trials:
            place(job, placement)
        self.reservations.place_ready(place, now_s)
        ordinary_round = OrdinaryRound(
            self.queue, self.ledger, self.search, self.reservations, self.rank, now_s
        )
        ordinary_round.run(place)
        self.reservations.reserve_for(self._overdue_jobs(now_s), now_s)
        decisions += self.reservations.drain(now_s)
        self._clear_for_waiting(now_s, decisions)
        decisions += self.compaction.decide(self._is_lent, now_s)
        return decisions

    def guarantees_at_risk(self) -> list[GuaranteeBlock]:
        """Returns the blocks that remain unplaced after a repair of the plan."""
        self.plan.repair(self.state.jobs)
        return [slot.block for slot in self.plan.at_risk]

    def block_of(self, job: Job) -> GuaranteeBlock | None:
        """Returns the block that the plan binds the job to."""
        slot = self.plan.slot_by_job.get(job.request.job_id)
        return None if slot is None else slot.block

    def submitted(self, job: Job, now_s: float) -> None:
        """Queues the job; an urgent job is tried inside its guarantee first."""
        self.queue.add(job)
        if job.request.urgent:
            self.claims.waiting[job.request.job_id] = job

    def requeued(self, job: Job, now_s: float) -> None:
        """Queues the job at its former position, or fails it when it is at fault itself."""
        job.waiting_since_s = now_s
        if job.task_failed:
            job.retry_not_before_s = now_s + self.faults.tracker.retry_delay_s(job)
            reason = self.faults.tracker.failure_reason(job)
            if reason is not None:
                self.failure_reasons[job.request.job_id] = reason
        self.submitted(job, now_s)

    def started(self, job: Job, now_s: float) -> None:
        """Watches the run if its success distinguishes a faulty worker from a faulty job."""
        self.faults.started(job)

    def task_failed(self, job: Job, worker: Unit, now_s: float) -> None:
        """Records evidence against the worker."""
        self.faults.task_failed(job, worker, now_s)

    def restored(self, job: Job, now_s: float) -> None:
        """Binds a running gang to a block of its account where that is possible."""
        self.plan.repair(self.state.jobs)
        if job.request.urgent and bind_by_moving(self.plan, job, self.state.jobs):
            return
        self._bind_or_charge(job, now_s)

    def cancelled(self, job: Job, now_s: float) -> None:
        """Removes the job from the queue and withdraws its claim."""
        self.queue.remove(job)
        self.claims.withdraw(job)

    def releasing(self, job: Job, outcome: GangOutcome, now_s: float) -> None:
        """Ends the use of the job's block or of lent capacity."""
        request = job.request
        self.plan.unbind(request.job_id)
        self.faults.released(job, outcome, now_s)
        if outcome in (GangOutcome.CHECKPOINTED, GangOutcome.STOPPED):
            job.preemptions += 1
        if job.is_charged:
            job.is_charged = False
            self.ledger.grant(request.client_account, -request.shape.accelerators, now_s)
        if outcome is GangOutcome.COMPLETED:
            self.estimates.observe(job, now_s - job.placed_s)
        else:
            self.estimates.forget_report(job)

    def usage_reported(self, job: Job, run_s: float, now_s: float) -> None:
        """Records a lower bound of the run time."""
        self.estimates.report(job, run_s)

    def worker_lost(self, worker: Unit, now_s: float) -> None:
        """Unbinds the gangs of the worker: they no longer satisfy their account's guarantee."""
        for job_id in list(self.state.jobs_by_worker.get(worker.key, {})):
            self.plan.unbind(job_id)
        self.plan.capacity_changed(worker)

    def worker_returned(self, worker: Unit, now_s: float) -> None:
        """Makes the worker available to the plan."""
        self.plan.capacity_changed(worker)

    def evacuation_changed(self, workers: list[Unit], now_s: float) -> None:
        """Moves guarantees out of evacuated data centres, and back to those that have returned.

        Gangs in an evacuated data centre run on, outside the guarantee of their account, which can
        be claimed in what is left. Those that still run at the return are bound again.
        """
        for worker in workers:
            self.plan.capacity_changed(worker)
        # Unbinds the gangs in evacuated data centres, because their workers have no capacity left.
        self.plan.repair(self.state.jobs)
        returned = [worker for worker in workers if worker.in_service]
        by_worker = [self.state.jobs_by_worker.get(worker.key, {}) for worker in returned]
        for job in {job_id: job for jobs in by_worker for job_id, job in jobs.items()}.values():
            if job.is_active and job.request.job_id not in self.plan.slot_by_job:
                self._bind_again(job, now_s)

    def reconfigured(self, now_s: float) -> None:
        """Applies new guarantees, shares and workers; fails jobs that can no longer run."""
        self.plan.inventory_changed()
        self.plan.replace_guarantees(self.state.rules.guarantees)
        self.ledger.weights = self.state.rules.shares
        self.search.large_job = self.state.rules.large_job
        for reservation in list(self.reservations.by_job.values()):
            self.reservations.remove(reservation)
        for job in self.state.waiting.values():
            largest = self.state.fleet.largest_shape(job.request.shape.scope).accelerators
            if job.request.shape.accelerators > largest:
                scope = job.request.shape.scope.value.replace("_", " ")
                reason = f"since the last configuration change no {scope} has more than {largest}"
                self.failure_reasons[job.request.job_id] = reason

    def explain(self, job: Job, now_s: float) -> Explanation:
        """Returns the reason why the job waits or runs."""
        if not job.holds_capacity:
            return explain_waiting(job, self.state, self.claims, self.reservations, now_s)
        block = self.block_of(job)
        if job.state is JobState.STOPPING:
            reason = "is being stopped"
        elif block is not None:
            reason = f"runs or starts inside its account's guarantee, block {block.number}"
        else:
            reason = "runs or starts on lent capacity that an urgent job may reclaim"
        return Explanation(job.request.job_id, job.state.value, reason)

    def rank(self, job: Job, now_s: float) -> float:
        """Returns the rank of a waiting job, in seconds; the job with the lowest is tried first."""
        return job.request.submitted_s - self.size_bonus_s * job.request.shape.accelerators

    def _place(
        self, job: Job, placement: Placement, now_s: float, decisions: list[Decision]
    ) -> None:
        self.queue.remove(job)
        self.claims.waiting.pop(job.request.job_id, None)
        self.state.place(job, placement, now_s)
        self._bind_or_charge(job, now_s)
        decisions.append(PlaceJob(job.request.job_id, placement))

    def _clear_for_waiting(self, now_s: float, decisions: list[Decision]) -> None:
        """Moves running jobs so that the first waiting jobs fit into the joined idle capacity."""
        if now_s < self.next_clearing_s:
            return
        self.next_clearing_s = now_s + CLEARING_INTERVAL_S
        reserving = self.reservations.by_job
        waiting = [job for job in self.queue.oldest_jobs() if job.request.job_id not in reserving]
        waiting = [
            j for j in waiting if max(j.retry_not_before_s, j.clearing_not_before_s) <= now_s
        ]
        waiting.sort(key=lambda job: self.rank(job, now_s))
        for job in waiting[:MAX_CLEARING_CANDIDATES]:
            clearing = self.compaction.clear_unit_for(job, self._is_lent, now_s)
            if clearing is not None:
                unit, moved = clearing
                decisions += [MoveJob(other.request.job_id) for other in moved]
                self.reservations.reserve_while_clearing(job, unit, moved, now_s)

    def _overdue_jobs(self, now_s: float) -> list[Job]:
        """Returns jobs that have waited for `reservation_delay_s`, the longest wait first."""
        overdue = [
            j for j in self.queue.oldest_jobs() if j.waited_s(now_s) >= self.reservation_delay_s
        ]
        overdue = [job for job in overdue if job.retry_not_before_s <= now_s]
        return sorted(overdue, key=lambda job: -job.waited_s(now_s))

    def _is_lent(self, job: Job) -> bool:
        return job.request.job_id not in self.plan.slot_by_job and not job.request.urgent

    def _fail_jobs(self, decisions: list[Decision]) -> None:
        for job_id, reason in self.failure_reasons.items():
            job = self.state.jobs.get(job_id)
            if job is None or job.holds_capacity:
                continue
            self.cancelled(job, 0.0)
            self.state.remove(job)
            decisions.append(FailJob(job_id, reason))
        self.failure_reasons.clear()

    def _bind_again(self, job: Job, now_s: float) -> None:
        if job.request.urgent:
            is_bound = bind_by_moving(self.plan, job, self.state.jobs)
        else:
            is_bound = self.plan.bind_if_inside(job)
        if is_bound and job.is_charged:
            job.is_charged = False
            self.ledger.grant(job.request.client_account, -job.request.shape.accelerators, now_s)

    def _bind_or_charge(self, job: Job, now_s: float) -> None:
        if not self.plan.bind_if_inside(job):
            job.is_charged = True
            self.ledger.grant(job.request.client_account, job.request.shape.accelerators, now_s)
