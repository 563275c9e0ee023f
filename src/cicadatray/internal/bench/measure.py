"""Entry of `./build.sh measure`: seeded workloads against all policies, and costs at design size.

Prints what went wrong in any run, a table of targets, and as its last line one JSON object. The
exit status is 0 whenever the runs took place: targets are reported, not enforced.
"""

from typing import Any

import cyclopts
import msgspec

from cicadatray.internal.bench.measurement.campaign import (
    RunKey,
    execute_design_costs,
    execute_runs,
    figures_of,
)
from cicadatray.internal.bench.measurement.deployment import (
    POLICIES,
    PRODUCT_POLICIES,
    deployments,
)
from cicadatray.internal.bench.measurement.design_cost import DesignCost
from cicadatray.internal.bench.measurement.run_metrics import RunMetrics
from cicadatray.internal.bench.measurement.spread import Spread
from cicadatray.internal.bench.measurement.targets import (
    TargetResult,
    default_policy_targets,
    design_size_targets,
    format_table,
    invariant_targets,
)
from cicadatray.internal.bench.measurement.workload_settings import SEEDS

AllFigures = dict[str, dict[str, dict[str, dict[str, Spread]]]]

app = cyclopts.App()


@app.default
def measure(*, quick: bool = False) -> None:
    """Runs all measurements.

    Parameters
    ----------
    quick
        Run one seed per load only.
    """
    runs = execute_runs(quick)
    costs = execute_design_costs()
    figures = {
        deployment.name: {load: figures_of(runs, deployment.name, load) for load in SEEDS}
        for deployment in deployments()
    }
    _print_notes(runs)
    print(format_table(_targets(figures, costs)))
    print(msgspec.json.encode(_report(figures, costs)).decode())


def _print_notes(runs: dict[RunKey, RunMetrics]) -> None:
    for key, metrics in runs.items():
        for note in metrics.notes:
            if key.policy in PRODUCT_POLICIES:
                print(f"{key.deployment} {key.load} seed {key.seed} {key.policy}: {note}")


def _targets(figures: AllFigures, costs: dict[str, DesignCost]) -> list[TargetResult]:
    results = []
    for deployment in deployments():
        for load in SEEDS:
            loaded = figures[deployment.name][load]
            default = deployment.default_policy
            results += default_policy_targets(deployment.name, load, default, loaded)
            for policy in PRODUCT_POLICIES:
                if policy != default:
                    results += invariant_targets(deployment.name, load, policy, loaded[policy])
    for policy in PRODUCT_POLICIES:
        results += design_size_targets(policy, costs[policy])
    return results


def _report(figures: AllFigures, costs: dict[str, DesignCost]) -> dict[str, Any]:
    report: dict[str, Any] = {
        "default": {deployment.name: deployment.default_policy for deployment in deployments()}
    }
    for name, loads in figures.items():
        report[name] = {}
        for policy in POLICIES:
            per_load = {load: loads[load][policy] for load in SEEDS}
            decision_ms = {"decision_ms_at_design_size": costs[policy].placement_ms}
            report[name][policy] = per_load | decision_ms
    report["design_size"] = costs
    return report


if __name__ == "__main__":
    app()
