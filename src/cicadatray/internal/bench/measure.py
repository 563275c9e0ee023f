"""Entry point of `./build.sh measure`: seeded workloads for all policies, and costs at design size.

Prints the notes on each run of a product policy, a table of targets, and as its last line one JSON
object. The exit status is 0 whenever the runs took place: targets are reported, not enforced.
"""

from typing import Any

import cyclopts
import msgspec

from cicadatray.internal.bench.measurement.campaign import (
    RunKey,
    execute_design_costs,
    execute_runs,
    figures_of,
    runs_of,
)
from cicadatray.internal.bench.measurement.deployment import (
    POLICIES,
    PRODUCT_POLICIES,
    deployments,
)
from cicadatray.internal.bench.measurement.design_cost import DesignCost
from cicadatray.internal.bench.measurement.run_metrics import RunMetrics
from cicadatray.internal.bench.measurement.targets import (
    TargetResult,
    absolute_targets,
    design_size_targets,
    format_table,
    ratio_targets,
)
from cicadatray.internal.bench.measurement.workload_settings import SEEDS, TIGHT

AllRuns = dict[RunKey, RunMetrics]

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
    _print_notes(runs)
    print(format_table(_targets(runs, costs)))
    print(msgspec.json.encode(_report(runs, costs)).decode())


def _print_notes(runs: AllRuns) -> None:
    for key, metrics in runs.items():
        for note in metrics.notes:
            if key.policy in PRODUCT_POLICIES:
                print(f"{key.deployment} {key.load} seed {key.seed} {key.policy}: {note}")


def _targets(runs: AllRuns, costs: dict[str, DesignCost]) -> list[TargetResult]:
    results = []
    for deployment in deployments():
        for load in SEEDS:
            runs_by_policy = runs_of(runs, deployment.name, load)
            if load != TIGHT:
                results += ratio_targets(
                    deployment.name, load, deployment.default_policy, runs_by_policy
                )
            for policy in PRODUCT_POLICIES:
                figures = figures_of(runs_by_policy[policy])
                results += absolute_targets(deployment.name, load, policy, figures)
    for policy in PRODUCT_POLICIES:
        results += design_size_targets(policy, costs[policy])
    return results


def _report(runs: AllRuns, costs: dict[str, DesignCost]) -> dict[str, Any]:
    report: dict[str, Any] = {
        "default": {deployment.name: deployment.default_policy for deployment in deployments()}
    }
    for deployment in deployments():
        loads = {load: runs_of(runs, deployment.name, load) for load in SEEDS}
        report[deployment.name] = {}
        for policy in POLICIES:
            figures = {load: figures_of(loads[load][policy]) for load in SEEDS}
            decision_ms = {"decision_ms_at_design_size": costs[policy].placement_ms}
            report[deployment.name][policy] = figures | decision_ms
    report["design_size"] = costs
    return report


if __name__ == "__main__":
    app()
