"""The policy that gives low fragmentation priority over short completion times."""

from cicadatray.scheduling.policies.production import ProductionPolicy
from cicadatray.scheduling.registry import scheduling_policy


@scheduling_policy("compact")
class CompactPolicy(ProductionPolicy):
    """Ranks large gangs far ahead of small ones, which then fill the gaps between them."""

    __slots__ = ()
    size_bonus_s = 800.0
