"""The policy that gives short completion times priority over low fragmentation."""

from cicadatray.scheduling.policies.production import ProductionPolicy
from cicadatray.scheduling.registry import scheduling_policy


@scheduling_policy("swift")
class SwiftPolicy(ProductionPolicy):
    """Stays closer to arrival order, so that small jobs wait less for large ones."""

    __slots__ = ()
    reservation_delay_s = 1200.0
    racks_per_reservation = 2
    size_bonus_s = 400.0
