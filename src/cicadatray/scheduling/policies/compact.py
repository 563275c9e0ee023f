"""The policy that weighs fragmentation more than completion time."""

from cicadatray.scheduling.policies.product import ProductPolicy
from cicadatray.scheduling.registry import scheduling_policy


@scheduling_policy("compact")
class CompactPolicy(ProductPolicy):
    """Guarantees, shares and whole blocks."""

    __slots__ = ()
