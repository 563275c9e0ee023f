"""The targets of the product and whether the figures meet them."""

import msgspec

from cicadatray.internal.bench.measurement.deployment import BASELINE_POLICIES
from cicadatray.internal.bench.measurement.design_cost import PHASE_BUDGET_S, DesignCost
from cicadatray.internal.bench.measurement.run_metrics import RunMetrics
from cicadatray.internal.bench.measurement.spread import Spread, spread_of

RECLAIM_BOUND_S = 3.5
# The part of the reclaim bound that the design allows for the two decisions.
RECLAIM_DECISION_MS = 250.0
BURST_BUDGET_S = 2.7  # 4.5% of a core over a minute
COMPACT_FRAGMENTATION_RATIO = 0.5
SWIFT_COMPLETION_RATIO = 0.7
NO_WORSE_RATIO = 1.0

Figures = dict[str, Spread]
# Per policy, one set of figures for each seed, in the same order of seeds.
RunsOfPolicies = dict[str, list[RunMetrics]]


class TargetResult(msgspec.Struct, frozen=True):
    """One row of the table."""

    target: str
    measured: float
    bound: float

    @property
    def met(self) -> bool:
        """Whether the measured value is within the bound."""
        return self.measured <= self.bound


RATIO_TARGETS = {
    ("cartago", "compact"): {
        "fragmentation": COMPACT_FRAGMENTATION_RATIO,
        "avoidable_fragmentation": COMPACT_FRAGMENTATION_RATIO,
        "completion_p99": NO_WORSE_RATIO,
    },
    ("port_louis", "swift"): {
        "completion_p99": SWIFT_COMPLETION_RATIO,
        "fragmentation": NO_WORSE_RATIO,
        "avoidable_fragmentation": NO_WORSE_RATIO,
    },
}
ZERO_TARGETS = ("guarantee_violations", "partial_gangs", "starved", "wrongly_failed")


def ratios_to_better_baseline(runs: RunsOfPolicies, policy: str, metric: str) -> Spread:
    """Returns the spread over the seeds of a metric divided by its better baseline's.

    The better baseline is chosen separately for each seed.
    """
    better = [
        min(getattr(metrics, metric) for metrics in baselines)
        for baselines in zip(*(runs[baseline] for baseline in BASELINE_POLICIES), strict=True)
    ]
    products = [getattr(metrics, metric) for metrics in runs[policy]]
    return spread_of(
        [value / baseline_value for value, baseline_value in zip(products, better, strict=True)]
    )


def ratio_targets(
    deployment: str, load: str, policy: str, runs: RunsOfPolicies
) -> list[TargetResult]:
    """Checks the median ratios of a deployment's default policy under one kind of load."""
    results = []
    for metric, bound in RATIO_TARGETS[(deployment, policy)].items():
        ratios = ratios_to_better_baseline(runs, policy, metric)
        name = f"{deployment} {policy} {load}: median ratio of {metric} to the better baseline"
        target = f"{name}, over seeds {ratios.min:g} to {ratios.max:g}"
        results.append(TargetResult(target, ratios.median, bound))
    return results


def absolute_targets(
    deployment: str, load: str, policy: str, figures: Figures
) -> list[TargetResult]:
    """Checks the reclaim time and the counts that must be zero, for the worst seed."""
    title = f"{deployment} {policy} {load}: largest"
    reclaim_s = figures["reclaim_p99_s"].max
    counts = [
        TargetResult(f"{title} {metric}", figures[metric].max, 0.0) for metric in ZERO_TARGETS
    ]
    return [TargetResult(f"{title} reclaim_p99_s", reclaim_s, RECLAIM_BOUND_S), *counts]


def design_size_targets(policy: str, cost: DesignCost) -> list[TargetResult]:
    """Checks bursts and claims; a phase that was cut off is over its budget."""
    title = f"design size {policy}"
    suffix = "" if cost.complete else " (cut off)"
    lower_bound = 0.0 if cost.complete else PHASE_BUDGET_S
    unplaced = cost.claims - cost.claims_placed
    return [
        TargetResult(f"{title}: largest reclaim_ms", cost.reclaim_ms.max, RECLAIM_DECISION_MS),
        TargetResult(f"{title}: claims not placed", unplaced, 0.0),
    ] + [
        TargetResult(f"{title}: {name}{suffix}", max(value, lower_bound), BURST_BUDGET_S)
        for name, value in (
            ("submission_burst_s", cost.submission_burst_s),
            ("cancellation_burst_s", cost.cancellation_burst_s),
        )
    ]


def format_table(results: list[TargetResult]) -> str:
    """Returns one line per target."""
    return "\n".join(
        f"{'pass' if result.met else 'FAIL'}  {result.target}: "
        f"{result.measured:g} (bound {result.bound:g})"
        for result in results
    )
