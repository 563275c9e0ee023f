"""An index of units by the capacity that the guarantee plan has not committed."""

from collections.abc import Iterator

from cicadatray.scheduling.fleet import Fleet
from cicadatray.scheduling.shape import Scope
from cicadatray.scheduling.unit import Unit


class HeadroomIndex:
    """Groups the units of each scope into buckets of equal headroom.

    A worker is in the bucket of the smaller of its own and its rack's headroom, so that a search
    does not visit the workers of racks that are committed as a whole.
    """

    __slots__ = ("bucket_keys", "buckets")

    def __init__(self, fleet: Fleet) -> None:
        self.buckets: dict[Scope, dict[int, dict[str, Unit]]] = {scope: {} for scope in Scope}
        self.bucket_keys: dict[Scope, dict[str, int]] = {scope: {} for scope in Scope}
        for scope in Scope:
            for unit in fleet.units(scope):
                self._update_bucket(unit)

    def update(self, unit: Unit) -> None:
        """Moves a unit, and the workers of a rack, to the buckets of their current headroom."""
        self._update_bucket(unit)
        if unit.scope is Scope.RACK:
            for worker in unit.children.values():
                self._update_bucket(worker)

    def tightest_first(self, scope: Scope, accelerators: int) -> Iterator[Unit]:
        """Yields units in which a reservation of this size fits, the tightest fit first."""
        buckets = self.buckets[scope]
        for headroom in sorted(key for key in buckets if key >= accelerators):
            for unit in buckets[headroom].values():
                if has_headroom(unit, accelerators):
                    yield unit

    def _update_bucket(self, unit: Unit) -> None:
        headroom = unit.headroom
        if unit.scope is Scope.WORKER and unit.parent is not None:
            headroom = min(headroom, unit.parent.headroom)
        bucket_keys = self.bucket_keys[unit.scope]
        previous = bucket_keys.get(unit.key)
        buckets = self.buckets[unit.scope]
        if previous is not None:
            if previous == headroom and buckets[previous].get(unit.key) is unit:
                return
            del buckets[previous][unit.key]
            if not buckets[previous]:
                del buckets[previous]
        buckets.setdefault(headroom, {})[unit.key] = unit
        bucket_keys[unit.key] = headroom


def has_headroom(unit: Unit, accelerators: int) -> bool:
    """Returns whether a reservation fits in the unit and in all units that contain it."""
    return all(outer.headroom >= accelerators for outer in unit.with_ancestors())
