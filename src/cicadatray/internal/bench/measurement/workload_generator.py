"""Generates a workload from its parameters and a seed."""

import math
import random

import msgspec

from cicadatray.internal.bench.measurement.deployment import Deployment
from cicadatray.internal.bench.measurement.job_class import JobClass
from cicadatray.internal.bench.measurement.job_plan import JobPlan
from cicadatray.internal.bench.measurement.worker_outage import WorkerOutage
from cicadatray.internal.bench.measurement.workload import Workload
from cicadatray.internal.bench.measurement.workload_settings import WorkloadSettings
from cicadatray.scheduling.job_request import JobRequest
from cicadatray.scheduling.shape import Scope, Shape

# Declared run times are half the time within 20%, otherwise off by up to a factor of ten.
DECLARATION_FACTORS = (1.0, 1.0, 0.8, 1.2, 0.1, 0.3, 3.0, 10.0)
MIN_RUN_S = 20.0
MAX_RUN_FACTOR = 6.0
CHECKPOINT_BOUND_S = 1.5
BURST_SPREAD_S = 30.0
# A cancellation wave cancels this share of the jobs submitted within the lookback before it.
WAVE_LOOKBACK_S = 1800.0
WAVE_SHARE = 0.4
LOSS_MIN_S = 300.0
LOSS_MAX_S = 2400.0
FAILING_MIN_S = 1200.0
FAILING_MAX_S = 5400.0
SMALLER_CLAIM_SHARE = 0.15
UNGUARANTEED_CLAIMS = 2


class WorkloadGenerator:
    """Generates one workload; the same deployment, parameters and seed give the same workload."""

    __slots__ = ("deployment", "plans", "random", "settings")

    def __init__(self, deployment: Deployment, settings: WorkloadSettings, seed: int) -> None:
        self.deployment = deployment
        self.settings = settings
        self.random = random.Random(f"{deployment.name}/{seed}")
        self.plans: list[JobPlan] = []

    def generate(self) -> Workload:
        """Draws bursts, urgent claims and special jobs first, then other jobs up to the load."""
        settings = self.settings
        self._add_bursts(settings.small, settings.small_bursts, settings.small_burst_jobs)
        self._add_bursts(settings.large, settings.large_bursts, settings.large_burst_jobs)
        self._add_urgent_claims()
        self._add_impossible_jobs()
        self._add_failing_jobs()
        self._add_jobs_up_to_load()
        plans = self._assign_job_ids(sorted(self.plans, key=lambda plan: plan.request.submitted_s))
        return Workload(
            horizon_s=settings.horizon_s,
            plans=self._cancel_in_waves(plans),
            losses=self._draw_outages(settings.losses, LOSS_MIN_S, LOSS_MAX_S),
            failing=self._draw_outages(settings.failing_workers, FAILING_MIN_S, FAILING_MAX_S),
            leader_changes=tuple(self._draw_time_s() for _ in range(settings.leader_changes)),
        )

    def _draw_time_s(self) -> float:
        return self.random.uniform(0.05, 0.85) * self.settings.horizon_s

    def _draw_account(self) -> str:
        weights = self.deployment.account_weights
        return self.random.choices(list(weights), list(weights.values()))[0]

    def _add_bursts(self, job_class: JobClass, bursts: int, jobs: int) -> None:
        for _ in range(bursts):
            start_s = self._draw_time_s()
            account = self._draw_account()
            for _ in range(jobs):
                submitted_s = start_s + self.random.uniform(0, BURST_SPREAD_S)
                self._add_job(job_class, account, submitted_s)

    def _add_urgent_claims(self) -> None:
        guarantees = self.deployment.guarantees
        unguaranteed = [
            account
            for account in self.deployment.account_weights
            if all(guarantee.client_account != account for guarantee in guarantees)
        ]
        for index in range(self.settings.urgent_claims):
            guarantee = guarantees[index % len(guarantees)]
            shape = guarantee.shape
            if self.random.random() < SMALLER_CLAIM_SHARE:
                shape = Shape(max(1, shape.accelerators // 2), shape.scope)
            self._add_urgent(guarantee.client_account, shape)
        for account in unguaranteed[:UNGUARANTEED_CLAIMS]:
            self._add_urgent(account, Shape(4, Scope.WORKER))

    def _add_urgent(self, account: str, shape: Shape) -> None:
        run_s = self.settings.urgent_run_s
        claim_class = JobClass(0.0, (shape,), run_s, sigma=0.3, checkpointable_share=0.5)
        self._add_job(claim_class, account, self._draw_time_s(), urgent=True)

    def _add_impossible_jobs(self) -> None:
        capacity = self.deployment.capacity
        for index in range(self.settings.impossible_jobs):
            scope = list(Scope)[index % len(Scope)]
            shape = Shape(capacity // 2 + index, scope)
            impossible_class = JobClass(0.0, (shape,), self.settings.small.median_run_s, 0.1, 0.5)
            self._add_job(
                impossible_class, self._draw_account(), self._draw_time_s(), impossible=True
            )

    def _add_failing_jobs(self) -> None:
        for index in range(self.settings.failing_jobs):
            job_class = (self.settings.small, self.settings.medium)[index % 2]
            self._add_job(
                job_class, self._draw_account(), self._draw_time_s(), fails_everywhere=True
            )

    def _add_jobs_up_to_load(self) -> None:
        settings = self.settings
        target = settings.load * settings.horizon_s * self.deployment.capacity
        classes = (settings.small, settings.medium, settings.large)
        weights = [job_class.weight for job_class in classes]
        work = sum(plan.work for plan in self.plans)
        while work < target:
            job_class = self.random.choices(classes, weights)[0]
            submitted_s = self.random.uniform(0, settings.horizon_s)
            self._add_job(job_class, self._draw_account(), submitted_s)
            work += self.plans[-1].work

    def _add_job(
        self,
        job_class: JobClass,
        account: str,
        submitted_s: float,
        urgent: bool = False,
        fails_everywhere: bool = False,
        impossible: bool = False,
    ) -> None:
        drawn_s = self.random.lognormvariate(math.log(job_class.median_run_s), job_class.sigma)
        run_s = min(max(drawn_s, MIN_RUN_S), MAX_RUN_FACTOR * job_class.median_run_s)
        request = JobRequest(
            job_id="",
            client_account=account,
            shape=self.random.choice(job_class.shapes),
            declared_run_s=run_s * self.random.choice(DECLARATION_FACTORS),
            checkpointable=self.random.random() < job_class.checkpointable_share,
            urgent=urgent,
            submitted_s=submitted_s,
        )
        checkpoint_s = self.random.uniform(0.3, CHECKPOINT_BOUND_S)
        plan = JobPlan(request, run_s, checkpoint_s, fails_everywhere, impossible)
        self.plans.append(plan)

    def _assign_job_ids(self, plans: list[JobPlan]) -> list[JobPlan]:
        numbered = []
        for index, plan in enumerate(plans):
            request = msgspec.structs.replace(plan.request, job_id=f"job-{index:05d}")
            numbered.append(msgspec.structs.replace(plan, request=request))
        return numbered

    def _cancel_in_waves(self, plans: list[JobPlan]) -> tuple[JobPlan, ...]:
        for _ in range(self.settings.cancellation_waves):
            wave_s = self._draw_time_s()
            recent = [
                index
                for index, plan in enumerate(plans)
                if 0 < wave_s - plan.request.submitted_s < WAVE_LOOKBACK_S and plan.cancel_s is None
            ]
            for index in self.random.sample(recent, math.ceil(WAVE_SHARE * len(recent))):
                plans[index] = msgspec.structs.replace(plans[index], cancel_s=wave_s)
        return tuple(plans)

    def _draw_outages(self, count: int, min_s: float, max_s: float) -> tuple[WorkerOutage, ...]:
        workers = self.random.sample(self.deployment.inventory.workers, count)
        outages = []
        for worker in workers:
            from_s = self._draw_time_s()
            to_s = from_s + self.random.uniform(min_s, max_s)
            outages.append(WorkerOutage(worker.worker_id, from_s, to_s))
        return tuple(outages)
