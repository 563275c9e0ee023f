"""Tests of workloads, repeated runs and targets."""

import msgspec
import pytest

from cicadatray.internal.bench.measurement.campaign import RunKey, execute_run, figures_of
from cicadatray.internal.bench.measurement.deployment import Deployment, deployments
from cicadatray.internal.bench.measurement.design_fleet import DesignFleet
from cicadatray.internal.bench.measurement.run_metrics import RunMetrics
from cicadatray.internal.bench.measurement.spread import Spread
from cicadatray.internal.bench.measurement.targets import (
    absolute_targets,
    ratios_to_better_baseline,
)
from cicadatray.internal.bench.measurement.workload import Workload
from cicadatray.internal.bench.measurement.workload_generator import WorkloadGenerator
from cicadatray.internal.bench.measurement.workload_settings import (
    HEALTHY,
    HELD_OUT_HEALTHY,
    SEEDS,
    settings_for,
)

LOADS_WITHOUT_FAILURES = (HEALTHY, HELD_OUT_HEALTHY)
CASES = [(deployment, load) for deployment in deployments() for load in SEEDS]


def generate(deployment: Deployment, load: str, seed: int) -> Workload:
    settings = settings_for(deployment.name, load, seed)
    return WorkloadGenerator(deployment, settings, seed).generate()


@pytest.mark.parametrize(("deployment", "load"), CASES)
def test_workloads_have_the_stated_load_and_every_kind_of_fault(
    deployment: Deployment, load: str
) -> None:
    """Guards against a workload that cannot be finished, or that leaves a kind of fault out."""
    for seed in SEEDS[load]:
        settings = settings_for(deployment.name, load, seed)
        workload = generate(deployment, load, seed)
        assert workload == generate(deployment, load, seed)
        offered = sum(plan.work for plan in workload.plans)
        ratio = offered / (settings.horizon_s * deployment.capacity)
        assert settings.load <= ratio < settings.load + 0.05
        plans = workload.plans
        assert any(plan.impossible for plan in plans)
        assert any(plan.fails_everywhere for plan in plans) is (load not in LOADS_WITHOUT_FAILURES)
        assert any(plan.cancel_s is not None for plan in plans)
        assert any(plan.request.urgent for plan in plans)
        assert any(plan.request.declared_run_s > 2 * plan.run_s for plan in plans)
        assert bool(workload.failing) is (load not in LOADS_WITHOUT_FAILURES)
        assert workload.losses and workload.leader_changes


def test_a_run_is_reproducible() -> None:
    """Guards against figures that depend on anything but the key."""
    key = RunKey("port_louis", "tuned", 1, "first_fit")
    first, second = (
        msgspec.structs.replace(execute_run(key), decision_p99_ms=0.0) for _ in range(2)
    )
    assert first == second


def test_design_fleet_has_the_design_size() -> None:
    """Guards against costs that are measured on a smaller fleet than the target names."""
    fleet = DesignFleet(6100, "first_fit")
    assert (len(fleet.inventory.workers), fleet.capacity, fleet.accounts) == (6100, 12000, 410)
    assert len({worker.data_centre for worker in fleet.inventory.workers}) == 7


def make_metrics(**figures: float) -> RunMetrics:
    values = dict.fromkeys(RunMetrics.__struct_fields__, 0) | {"notes": ()} | figures
    return msgspec.convert(values, RunMetrics)


def test_ratios_use_the_better_baseline_of_each_seed() -> None:
    """Guards against meeting a target through the worse baseline or one favourable seed."""
    runs = {
        "first_fit": [make_metrics(fragmentation=value) for value in (0.4, 0.8, 0.5)],
        "best_fit_backfill": [make_metrics(fragmentation=value) for value in (0.8, 0.4, 0.5)],
        "compact": [make_metrics(fragmentation=value) for value in (0.1, 0.2, 0.5)],
    }
    assert ratios_to_better_baseline(runs, "compact", "fragmentation") == Spread(0.25, 0.5, 1.0)


def test_absolute_targets_use_the_worst_seed() -> None:
    """Guards against a violation in a single seed that a median hides."""
    runs = [make_metrics(reclaim_p99_s=3.0), make_metrics(reclaim_p99_s=3.6, starved=1)]
    results = absolute_targets("cartago", "tuned", "compact", figures_of(runs))
    missed = [result.target.split("largest ")[1] for result in results if not result.met]
    assert missed == ["reclaim_p99_s", "starved"]
