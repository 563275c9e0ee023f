"""The policy that weighs fragmentation more than completion time."""

from cicadatray.scheduling.policies.product import ProductPolicy
from cicadatray.scheduling.registry import scheduling_policy


@scheduling_policy("compact")
class CompactPolicy(ProductPolicy):
    """Serves large gangs long before small ones, which then fill the remnants between them."""

    __slots__ = ()
    size_bonus_s = 800.0
