"""What the two production policies have in common."""

from cicadatray.scheduling.decision import Decision, FailJob, PlaceJob
from cicadatray.scheduling.explanation import Explanation
from cicadatray.scheduling.gang_outcome import GangOutcome
from cicadatray.scheduling.guarantee_block import GuaranteeBlock
from cicadatray.scheduling.guarantee_plan import GuaranteePlan
from cicadatray.scheduling.job import Job
from cicadatray.scheduling.ordinary_round import OrdinaryRound
from cicadatray.scheduling.placement import Placement
from cicadatray.scheduling.placement_search import PlacementSearch
from cicadatray.scheduling.policies.policy import SchedulingPolicy
from cicadatray.scheduling.run_estimates import RunEstimates
from cicadatray.scheduling.scheduling_state import SchedulingState
from cicadatray.scheduling.share_ledger import ShareLedger
from cicadatray.scheduling.unit import Unit
from cicadatray.scheduling.urgent_claims import UrgentClaims
from cicadatray.scheduling.waiting_queue import WaitingQueue


class ProductPolicy(SchedulingPolicy):
    """Keeps guarantees, shares what remains and protects large blocks."""

    __slots__ = ("claims", "estimates", "failing", "ledger", "plan", "queue", "search")

    def __init__(self, state: SchedulingState) -> None:
        super().__init__(state)
        self.plan = GuaranteePlan(state.fleet, state.rules.guarantees)
        self.queue = WaitingQueue()
        self.claims = UrgentClaims(state, self.plan, self.queue)
        self.search = PlacementSearch(state.fleet, state.rules.large_job)
        self.ledger = ShareLedger(state.rules)
        self.estimates = RunEstimates()
        self.failing: dict[str, str] = {}

    def decide(self, now_s: float) -> list[Decision]:
        """Repairs the plan, serves urgent claims and then shares what is idle."""
        self.plan.repair(self.state.jobs)
        decisions: list[Decision] = []
        self._fail(decisions)
        decisions += self.claims.decide(now_s)
        self._place_ordinary(now_s, decisions)
        return decisions

    def guarantees_at_risk(self) -> list[GuaranteeBlock]:
        """Returns the blocks that the repaired plan has no unit for."""
        self.plan.repair(self.state.jobs)
        return [slot.block for slot in self.plan.at_risk]

    def block_of(self, job: Job) -> GuaranteeBlock | None:
        """Returns the block that the plan binds the job to."""
        slot = self.plan.slot_of.get(job.request.job_id)
        return None if slot is None else slot.block

    def submitted(self, job: Job, now_s: float) -> None:
        """Queues the job; an urgent one is first tried inside its guarantee."""
        self.queue.add(job)
        if job.request.urgent:
            self.claims.waiting[job.request.job_id] = job

    def requeued(self, job: Job, now_s: float) -> None:
        """Queues the job at its old place."""
        self.submitted(job, now_s)

    def restored(self, job: Job, now_s: float) -> None:
        """Binds a running gang to a block of its account where that is possible."""
        self.plan.repair(self.state.jobs)
        if job.request.urgent and self.plan.bind_by_moving(job, self.state.jobs):
            return
        self._bind_or_charge(job, now_s)

    def cancelled(self, job: Job, now_s: float) -> None:
        """Withdraws what the job waits for."""
        self.queue.remove(job)
        self.claims.withdraw(job)

    def releasing(self, job: Job, outcome: GangOutcome, now_s: float) -> None:
        """Ends the job's use of its block or of lent capacity."""
        request = job.request
        self.plan.unbind(request.job_id)
        if job.charged:
            job.charged = False
            self.ledger.grant(request.client_account, -request.shape.accelerators, now_s)
        if outcome is GangOutcome.COMPLETED:
            self.estimates.observe(job, now_s - job.placed_s)
        else:
            self.estimates.forget(job)

    def usage_reported(self, job: Job, run_s: float, now_s: float) -> None:
        """Learns a lower bound of the run time."""
        self.estimates.report(job, run_s)

    def worker_lost(self, worker: Unit, now_s: float) -> None:
        """A gang that lost a worker no longer satisfies its account's guarantee."""
        for job_id in list(self.state.on_worker.get(worker.key, {})):
            self.plan.unbind(job_id)
        self.plan.capacity_changed(worker)

    def worker_returned(self, worker: Unit, now_s: float) -> None:
        """Lets the plan use the worker."""
        self.plan.capacity_changed(worker)

    def reconfigured(self, now_s: float) -> None:
        """Takes over other guarantees, shares and workers."""
        self.plan.inventory_changed()
        self.plan.replace(self.state.rules.guarantees)
        self.ledger.weights = self.state.rules.shares
        self.search.large_job = self.state.rules.large_job
        for job in self.state.waiting.values():
            largest = self.state.fleet.largest_shape(job.request.shape.scope).accelerators
            if job.request.shape.accelerators > largest:
                scope = job.request.shape.scope.value.replace("_", " ")
                reason = f"since the last configuration change no {scope} has more than {largest}"
                self.failing[job.request.job_id] = reason

    def explain(self, job: Job, now_s: float) -> Explanation:
        """Says why the job waits or runs."""
        reason = "runs or starts" if job.holds_capacity else "no unit has enough idle accelerators"
        return Explanation(job.request.job_id, job.state.value, reason)

    def rank(self, job: Job, now_s: float) -> float:
        """Orders the waiting jobs of one account; the lowest is tried first."""
        return job.sequence

    def _place_ordinary(self, now_s: float, decisions: list[Decision]) -> None:
        def place(job: Job, placement: Placement) -> None:
            self.queue.remove(job)
            self.claims.waiting.pop(job.request.job_id, None)
            self.state.place(job, placement, now_s)
            self._bind_or_charge(job, now_s)
            decisions.append(PlaceJob(job.request.job_id, placement))

        OrdinaryRound(self.queue, self.ledger, self.search, self.rank, now_s).run(place)

    def _fail(self, decisions: list[Decision]) -> None:
        for job_id, reason in self.failing.items():
            job = self.state.jobs.get(job_id)
            if job is None or job.holds_capacity:
                continue
            self.cancelled(job, 0.0)
            self.state.forget(job)
            decisions.append(FailJob(job_id, reason))
        self.failing.clear()

    def _bind_or_charge(self, job: Job, now_s: float) -> None:
        if not self.plan.bind_where_possible(job):
            job.charged = True
            self.ledger.grant(job.request.client_account, job.request.shape.accelerators, now_s)
