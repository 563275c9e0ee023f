"""Slopes of the scheduler's cost over the size of the fleet, as one JSON line."""

from collections.abc import Sequence
from typing import Any

import msgspec

from cicadatray.internal.bench.measurement.deployment import PRODUCT_POLICIES
from cicadatray.internal.bench.measurement.design_cost import measure_design_cost, measure_state_mb

FLEET_SIZES = (100, 1000, 3000, 6100)
BURST_JOBS = 100


def measure_scheduler_slopes(
    policies: Sequence[str] = PRODUCT_POLICIES, fleet_sizes: Sequence[int] = FLEET_SIZES
) -> dict[str, list[dict[str, Any]]]:
    """Returns, per policy, the cost and the memory at every fleet size (in workers).

    `placement_ms` is the processor time from the release of a gang to the decision that uses its
    accelerators; the bursts submit and cancel `BURST_JOBS` jobs.
    """
    slopes: dict[str, list[dict[str, Any]]] = {}
    for policy in policies:
        slopes[policy] = []
        for workers in fleet_sizes:
            cost = msgspec.structs.asdict(measure_design_cost(policy, workers, BURST_JOBS))
            slopes[policy].append(cost | {"state_mb": measure_state_mb(policy, workers)})
    return slopes


def main() -> None:
    """Prints the slopes."""
    print(msgspec.json.encode({"scheduler": measure_scheduler_slopes()}).decode())


if __name__ == "__main__":
    main()
