"""The targets of the product and whether the figures meet them."""

import msgspec

from cicadatray.internal.bench.measurement.deployment import BASELINE_POLICIES
from cicadatray.internal.bench.measurement.design_cost import PHASE_BUDGET_S, DesignCost
from cicadatray.internal.bench.measurement.spread import Spread

RECLAIM_BOUND_S = 3.5
BURST_BUDGET_S = 2.7  # 4.5% of a core over a minute
COMPACT_FRAGMENTATION_RATIO = 0.5
SWIFT_COMPLETION_RATIO = 0.7
NO_WORSE_RATIO = 1.0

Figures = dict[str, Spread]


class TargetResult(msgspec.Struct, frozen=True):
    """One row of the table."""

    target: str
    measured: float
    bound: float

    @property
    def met(self) -> bool:
        """Says whether the measured value is within the bound."""
        return self.measured <= self.bound


RATIO_TARGETS = {
    ("cartago", "compact"): {
        "fragmentation": COMPACT_FRAGMENTATION_RATIO,
        "completion_p99": NO_WORSE_RATIO,
    },
    ("port_louis", "swift"): {
        "completion_p99": SWIFT_COMPLETION_RATIO,
        "fragmentation": NO_WORSE_RATIO,
    },
}
ZERO_TARGETS = ("guarantee_violations", "partial_gangs", "starved", "wrongly_failed")


def default_policy_targets(
    deployment: str, load: str, policy: str, figures: dict[str, Figures]
) -> list[TargetResult]:
    """Checks the default policy of a deployment under one kind of load.

    Ratios compare medians over the seeds with those of the better baseline, metric by metric;
    counts and the reclaim time use the largest value of any seed.
    """
    title = f"{deployment} {policy} {load}"
    product = figures[policy]
    results = []
    for metric, ratio in RATIO_TARGETS[(deployment, policy)].items():
        better = min(figures[baseline][metric].median for baseline in BASELINE_POLICIES)
        name = f"{title}: median {metric} <= {ratio} x better baseline ({better:g})"
        results.append(TargetResult(name, product[metric].median, ratio * better))
    reclaim = f"{title}: largest reclaim_p99_s"
    results.append(TargetResult(reclaim, product["reclaim_p99_s"].max, RECLAIM_BOUND_S))
    return results + invariant_targets(deployment, load, policy, product)


def invariant_targets(
    deployment: str, load: str, policy: str, product: Figures
) -> list[TargetResult]:
    """Checks the counts that must be zero for a product policy."""
    title = f"{deployment} {policy} {load}"
    return [
        TargetResult(f"{title}: largest {metric}", product[metric].max, 0.0)
        for metric in ZERO_TARGETS
    ]


def design_size_targets(policy: str, cost: DesignCost) -> list[TargetResult]:
    """Checks the processor time of bursts; a phase that was cut off is over its budget."""
    title = f"design size {policy}"
    suffix = "" if cost.complete else " (cut off)"
    least = 0.0 if cost.complete else PHASE_BUDGET_S
    return [
        TargetResult(f"{title}: {name}{suffix}", max(value, least), BURST_BUDGET_S)
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
