"""The policy that weighs completion time more than fragmentation."""

from cicadatray.scheduling.policies.product import ProductPolicy
from cicadatray.scheduling.registry import scheduling_policy


@scheduling_policy("swift")
class SwiftPolicy(ProductPolicy):
    """Guarantees, shares and whole blocks."""

    __slots__ = ()
