"""The policy that gives short completion times priority over low fragmentation."""

from cicadatray.scheduling.policies.product import ProductPolicy
from cicadatray.scheduling.registry import scheduling_policy


@scheduling_policy("swift")
class SwiftPolicy(ProductPolicy):
    """Stays closer to arrival order, so that small jobs wait less for large ones."""

    __slots__ = ()
    fence_delay_s = 1200.0
    racks_per_fence = 2
    size_bonus_s = 400.0
