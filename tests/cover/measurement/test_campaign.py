"""Tests of workloads, repeated runs and targets."""

import msgspec
import pytest

from cicadatray.internal.bench.measurement.campaign import RunKey, execute_run
from cicadatray.internal.bench.measurement.deployment import Deployment, deployments
from cicadatray.internal.bench.measurement.design_fleet import DesignFleet
from cicadatray.internal.bench.measurement.spread import Spread
from cicadatray.internal.bench.measurement.targets import default_policy_targets
from cicadatray.internal.bench.measurement.workload import Workload
from cicadatray.internal.bench.measurement.workload_generator import WorkloadGenerator
from cicadatray.internal.bench.measurement.workload_settings import SEEDS, settings_for

CASES = [(deployment, load) for deployment in deployments() for load in SEEDS]


def draw(deployment: Deployment, load: str, seed: int) -> Workload:
    settings = settings_for(deployment.name, load, seed)
    return WorkloadGenerator(deployment, settings, seed).generate()


@pytest.mark.parametrize(("deployment", "load"), CASES)
def test_workloads_have_the_stated_load_and_every_kind_of_trouble(
    deployment: Deployment, load: str
) -> None:
    """Guards against a workload that cannot be finished, or that leaves a kind of fault out."""
    for seed in SEEDS[load]:
        settings = settings_for(deployment.name, load, seed)
        workload = draw(deployment, load, seed)
        assert workload == draw(deployment, load, seed)
        offered = sum(plan.work for plan in workload.plans)
        ratio = offered / (settings.horizon_s * deployment.capacity)
        assert settings.load <= ratio < settings.load + 0.05
        plans = workload.plans
        assert any(plan.impossible for plan in plans)
        assert any(plan.fails_everywhere for plan in plans)
        assert any(plan.cancel_s is not None for plan in plans)
        assert any(plan.request.urgent for plan in plans)
        assert any(plan.request.declared_run_s > 2 * plan.run_s for plan in plans)
        assert workload.losses and workload.failing


def test_a_run_gives_the_same_figures_again() -> None:
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


def test_targets_use_the_better_baseline_and_the_worst_seed() -> None:
    """Guards against passing a target on a favourable seed or against the worse baseline."""
    zero = Spread(0, 0, 0)
    counts = dict.fromkeys(
        ("guarantee_violations", "partial_gangs", "starved", "wrongly_failed"), zero
    )
    figures = {
        "first_fit": {"fragmentation": Spread(0.4, 0.4, 0.4), "completion_p99": Spread(9, 9, 9)},
        "best_fit_backfill": {
            "fragmentation": Spread(0.8, 0.8, 0.8),
            "completion_p99": Spread(7, 7, 7),
        },
        "compact": counts
        | {
            "fragmentation": Spread(0.1, 0.3, 0.3),
            "completion_p99": Spread(6, 7, 9),
            "reclaim_p99_s": Spread(3.0, 3.0, 3.6),
            "starved": Spread(0, 0, 1),
        },
    }
    results = default_policy_targets("cartago", "tuned", "compact", figures)
    missed = [result.target.split(": ")[1].split(" <=")[0] for result in results if not result.met]
    assert missed == ["median fragmentation", "largest reclaim_p99_s", "largest starved"]
