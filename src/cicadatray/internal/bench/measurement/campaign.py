"""All runs of a measurement, distributed over a few processes."""

from functools import partial
from multiprocessing import get_context

import msgspec

from cicadatray.internal.bench.measurement.deployment import POLICIES, deployments
from cicadatray.internal.bench.measurement.design_cost import DesignCost, measure_design_cost
from cicadatray.internal.bench.measurement.run import Run
from cicadatray.internal.bench.measurement.run_metrics import RunMetrics
from cicadatray.internal.bench.measurement.spread import Spread, spread_of
from cicadatray.internal.bench.measurement.workload_generator import WorkloadGenerator
from cicadatray.internal.bench.measurement.workload_settings import (
    SEEDS,
    TIGHT,
    settings_for,
)
from cicadatray.scheduling.scheduler import Scheduler

PROCESSES = 4
FIGURES = (
    "completion_p50",
    "completion_p99",
    "completion_p99_unloaded",
    "fragmentation",
    "fragmentation_floor",
    "avoidable_fragmentation",
    "guarantee_violations",
    "blocked_by_losses",
    "partial_gangs",
    "reclaim_p99_s",
    "starved",
    "wrongly_failed",
    "unexpected_decisions",
    "claims",
    "disturbed_claims",
    "jobs",
    "interruptions",
    "busy_share",
    "decision_p99_ms",
)


class RunKey(msgspec.Struct, frozen=True):
    """Identifies a run; the same key gives the same figures, except for real times."""

    deployment: str
    load: str
    seed: int
    policy: str


def execute_run(key: RunKey) -> RunMetrics:
    """Generates the workload of the key and runs it."""
    deployment = next(candidate for candidate in deployments() if candidate.name == key.deployment)
    if key.load == TIGHT:
        deployment = msgspec.structs.replace(deployment, guarantees=deployment.tight_guarantees)
    settings = settings_for(key.deployment, key.load, key.seed)
    workload = WorkloadGenerator(deployment, settings, key.seed).generate()
    make_scheduler = partial(Scheduler, deployment.inventory, deployment.rules(key.policy))
    return Run(deployment, workload, make_scheduler).run()


def execute_runs(quick: bool) -> dict[RunKey, RunMetrics]:
    """Runs every deployment, load, seed and policy, in a fixed order of keys."""
    keys = [
        RunKey(deployment.name, load, seed, policy)
        for deployment in deployments()
        for load, seeds in SEEDS.items()
        for seed in (seeds[:1] if quick else seeds)
        for policy in POLICIES
    ]
    with get_context("spawn").Pool(PROCESSES) as pool:
        return dict(zip(keys, pool.map(execute_run, keys, chunksize=1), strict=True))


def execute_design_costs() -> dict[str, DesignCost]:
    """Measures the cost of every policy at design size."""
    with get_context("spawn").Pool(PROCESSES) as pool:
        costs = pool.map(measure_design_cost, POLICIES, chunksize=1)
    return dict(zip(POLICIES, costs, strict=True))


def runs_of(
    runs: dict[RunKey, RunMetrics], deployment: str, load: str
) -> dict[str, list[RunMetrics]]:
    """Returns, per policy, the runs of a deployment under one kind of load, by seed."""
    return {
        policy: [
            metrics
            for key, metrics in runs.items()
            if (key.deployment, key.load, key.policy) == (deployment, load, policy)
        ]
        for policy in POLICIES
    }


def figures_of(runs: list[RunMetrics]) -> dict[str, Spread]:
    """Returns the spread of every figure over the seeds."""
    return {name: spread_of([getattr(metrics, name) for metrics in runs]) for name in FIGURES}
