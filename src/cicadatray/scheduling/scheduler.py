"""The scheduler, which decides when and where each job runs."""

from cicadatray.scheduling.admission import Admission
from cicadatray.scheduling.decision import Decision
from cicadatray.scheduling.explanation import Explanation
from cicadatray.scheduling.gang_outcome import REQUEUED_OUTCOMES, GangOutcome
from cicadatray.scheduling.guarantee_block import GuaranteeBlock
from cicadatray.scheduling.inventory import Inventory
from cicadatray.scheduling.job import Job, JobState
from cicadatray.scheduling.job_request import JobRequest
from cicadatray.scheduling.placement import Placement
from cicadatray.scheduling.policies import find_policy
from cicadatray.scheduling.policies.policy import SchedulingPolicy
from cicadatray.scheduling.rules import Rules
from cicadatray.scheduling.scheduling_state import SchedulingState
from cicadatray.scheduling.shape import Shape


class Scheduler:
    """Maintains jobs, fleet and rules, and delegates decisions to the configured policy.

    Events about unknown jobs or workers are ignored, because the caller may repeat an event or
    report it after a cancellation.
    """

    __slots__ = ("inventory", "policy", "rules", "state")

    def __init__(self, inventory: Inventory, rules: Rules) -> None:
        self.inventory = inventory
        self.rules = rules
        self.state = SchedulingState(inventory, rules)
        self.policy = self._make_policy()

    def submit(self, request: JobRequest, now_s: float) -> Admission:
        """Queues a job, or refuses it when no unit of the inventory could ever hold it."""
        if request.job_id in self.state.jobs:
            return Admission(accepted=True, reason="already known")
        refusal = self._refusal(request.shape)
        if refusal is not None:
            return refusal
        self.policy.submitted(self.state.add(request), now_s)
        return Admission(accepted=True)

    def check_admission(self, request: JobRequest) -> Admission:
        """Returns whether `submit` would accept the job, without changing any state."""
        return self._refusal(request.shape) or Admission(accepted=True)

    def cancel(self, job_id: str, now_s: float) -> None:
        """Removes a waiting job; a placed job is removed once `gang_released` is called."""
        job = self.state.jobs.get(job_id)
        if job is None:
            return
        job.cancelled = True
        self.policy.cancelled(job, now_s)
        if job.holds_capacity:
            job.state = JobState.STOPPING
        else:
            self.state.remove(job)

    def decide(self, now_s: float) -> list[Decision]:
        """Returns the decisions of this moment; placed jobs hold their capacity from now on."""
        return self.policy.decide(now_s)

    def gang_started(self, job_id: str, now_s: float) -> None:
        """Records that all tasks of the gang run."""
        job = self.state.jobs.get(job_id)
        if job is not None and job.state is JobState.STARTING:
            job.state = JobState.RUNNING
            job.started_s = now_s
            self.policy.started(job, now_s)

    def gang_released(self, job_id: str, now_s: float, outcome: GangOutcome) -> None:
        """Frees the gang's capacity and requeues the job where the outcome allows it.

        A job whose task failed is requeued until the policy decides `FailJob`.
        """
        job = self.state.jobs.get(job_id)
        if job is None or not job.holds_capacity:
            return
        self.policy.releasing(job, outcome, now_s)
        self.state.release(job)
        retried = outcome is GangOutcome.FAILED and job.task_failed
        if job.cancelled or not (retried or outcome in REQUEUED_OUTCOMES):
            self.state.remove(job)
            return
        self.state.requeue(job)
        self.policy.requeued(job, now_s)

    def worker_lost(self, worker_id: str, now_s: float) -> None:
        """Takes a worker out of service; its gangs hold their capacity until `gang_released`."""
        worker = self.state.fleet.workers.get(worker_id)
        if worker is None:
            return
        self.state.fleet.set_lost(worker, True)
        for job in self.state.jobs_by_worker.get(worker_id, {}).values():
            job.unreachable = True
        self.policy.worker_lost(worker, now_s)

    def worker_returned(self, worker_id: str, now_s: float) -> None:
        """Returns a worker to service."""
        worker = self.state.fleet.workers.get(worker_id)
        if worker is None:
            return
        self.state.fleet.set_lost(worker, False)
        self.policy.worker_returned(worker, now_s)

    def set_evacuated(self, data_centres: frozenset[str], now_s: float) -> None:
        """Excludes the workers of these data centres, and of no others, from all new placements.

        Gangs that hold capacity there keep it. Names that the inventory does not have are kept for
        later inventories. Guarantees that no longer fit are returned by `guarantees_at_risk`.
        """
        changed = self.state.fleet.set_evacuated(data_centres)
        if changed:
            self.policy.evacuation_changed(changed, now_s)

    def is_evacuated(self, worker_id: str) -> bool:
        """Returns whether the worker is in an evacuated data centre."""
        worker = self.state.fleet.workers.get(worker_id)
        return worker is not None and worker.evacuated

    def task_failed(self, job_id: str, worker_id: str, now_s: float) -> None:
        """Records that a task of the job failed on this worker."""
        job = self.state.jobs.get(job_id)
        worker = self.state.fleet.workers.get(worker_id)
        if job is None or worker is None or not job.uses(worker_id):
            return
        if not job.task_failed:
            job.failures.append([])
        job.task_failed = True
        job.failures[-1].append(worker_id)
        self.policy.task_failed(job, worker, now_s)

    def usage_reported(self, job_id: str, run_s: float, now_s: float) -> None:
        """Records how long the gang had run, in seconds; reports arrive with a lag."""
        job = self.state.jobs.get(job_id)
        if job is not None:
            self.policy.usage_reported(job, run_s, now_s)

    def replace_configuration(self, inventory: Inventory, rules: Rules, now_s: float) -> None:
        """Puts another inventory and other rules into effect.

        The policy keeps its state unless the rules name another one.

        Raises:
            UnknownPolicyError: the rules name a policy that is not registered; nothing has changed.
        """
        policy_type = find_policy(rules.policy)
        self.inventory = inventory
        self.rules = rules
        self.state.rules = rules
        self.state.fleet.replace_inventory(inventory)
        if type(self.policy) is not policy_type:
            self.policy = self._make_policy()
            for job in self.state.jobs.values():
                self._report_to_policy(job, now_s)
        self.policy.reconfigured(now_s)

    def restore_running(self, request: JobRequest, placement: Placement, now_s: float) -> None:
        """Adds a gang that already holds its capacity, after a change of the leader."""
        job = self.state.jobs.get(request.job_id)
        if job is not None and job.holds_capacity:
            return
        if job is not None:
            self.policy.cancelled(job, now_s)
        job = self.state.add(request)
        self.state.place(job, placement, now_s)
        job.state = JobState.RUNNING
        job.started_s = now_s
        self.policy.restored(job, now_s)

    def guarantees_at_risk(self) -> list[GuaranteeBlock]:
        """Returns the blocks that, after losses, cannot be placed together with the others."""
        return self.policy.guarantees_at_risk()

    def block_of(self, job_id: str) -> GuaranteeBlock | None:
        """Returns the block that a job runs in; a placed job without one uses lent capacity."""
        job = self.state.jobs.get(job_id)
        return None if job is None else self.policy.block_of(job)

    def explain(self, job_id: str, now_s: float) -> Explanation:
        """Returns the reason why the job waits or runs."""
        job = self.state.jobs.get(job_id)
        if job is None:
            return Explanation(job_id, "unknown", "not queued and not placed")
        return self.policy.explain(job, now_s)

    def _refusal(self, shape: Shape) -> Admission | None:
        largest = self.state.fleet.largest_shape(shape.scope)
        if shape.accelerators < 1:
            return Admission(False, "a job needs at least one accelerator", largest)
        if shape.accelerators <= largest.accelerators:
            return None
        scope = shape.scope.value.replace("_", " ")
        reason = (
            f"no {scope} has {shape.accelerators} accelerators, "
            f"the largest has {largest.accelerators}"
        )
        return Admission(False, reason, largest)

    def _make_policy(self) -> SchedulingPolicy:
        policy: SchedulingPolicy = find_policy(self.rules.policy)(self.state)
        return policy

    def _report_to_policy(self, job: Job, now_s: float) -> None:
        if job.holds_capacity:
            self.policy.restored(job, now_s)
        else:
            self.policy.submitted(job, now_s)
