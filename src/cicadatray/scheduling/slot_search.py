"""Assigns guaranteed blocks to units so that all of them fit together."""

from cicadatray.scheduling.fleet import Fleet
from cicadatray.scheduling.guarantee_slot import GuaranteeSlot
from cicadatray.scheduling.headroom_index import HeadroomIndex, has_headroom
from cicadatray.scheduling.shape import Scope
from cicadatray.scheduling.unit import Unit

# Bounds the exhaustive search. One step examines one unit and takes about a microsecond. The limit
# suffices to search small inventories completely; at design size it limits one repair to about
# 0.2 s.
MAX_SEARCH_STEPS = 200_000


class SlotSearch:
    """Reserves units for slots; a slot with bound jobs is never moved."""

    __slots__ = ("fleet", "index", "steps_left")

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.index = HeadroomIndex(fleet)
        self.steps_left = 0

    def reserve(self, unit: Unit, accelerators: int) -> None:
        """Reserves accelerators in a unit and all that contain it; negative values release."""
        for outer in unit.with_ancestors():
            outer.reserved_for_guarantees += accelerators
            self.index.update(outer)

    def attach(self, slot: GuaranteeSlot, unit: Unit) -> None:
        """Reserves the slot's block at a unit."""
        slot.unit = unit
        self.reserve(unit, slot.shape.accelerators)

    def detach(self, slot: GuaranteeSlot) -> None:
        """Releases the reservation of a slot without bound jobs."""
        assert slot.unit is not None and not slot.bound
        self.reserve(slot.unit, -slot.shape.accelerators)
        slot.unit = None

    def insert(self, slot: GuaranteeSlot, others: list[GuaranteeSlot]) -> bool:
        """Attaches a slot at the tightest fit, or rearranges `others` as well; returns success."""
        for unit in self.index.tightest_first(slot.shape.scope, slot.shape.accelerators):
            self.attach(slot, unit)
            return True
        return self._rearrange([*others, slot])

    def _rearrange(self, slots: list[GuaranteeSlot]) -> bool:
        previous = [(slot, slot.unit) for slot in slots]
        for slot in slots:
            if slot.unit is not None:
                self.detach(slot)
        self.steps_left = MAX_SEARCH_STEPS
        ordered = sorted(slots, key=search_order)
        if self._fits_total_headroom(ordered) and self._search(ordered):
            return True
        for slot, unit in previous:
            if unit is not None:
                self.attach(slot, unit)
        return False

    def _fits_total_headroom(self, slots: list[GuaranteeSlot]) -> bool:
        needed = sum(slot.shape.accelerators for slot in slots)
        return needed <= sum(max(0, u.headroom) for u in self.fleet.data_centres.values())

    def _search(self, slots: list[GuaranteeSlot]) -> bool:
        """Searches depth-first over the units of each slot in turn, without recursion."""
        choices = [self._candidate_units(slots[0])]
        while choices:
            slot = slots[len(choices) - 1]
            if slot.unit is not None:
                self.detach(slot)
            if not choices[-1] or self.steps_left <= 0:
                choices.pop()
                continue
            self.attach(slot, choices[-1].pop())
            if len(choices) == len(slots):
                return True
            choices.append(self._candidate_units(slots[len(choices)]))
        return False

    def _candidate_units(self, slot: GuaranteeSlot) -> list[Unit]:
        """Returns the units to try, the tightest fit last, and only one of equivalent units."""
        units_by_key: dict[tuple[object, ...], Unit] = {}
        for unit in self.fleet.units(slot.shape.scope):
            self.steps_left -= 1
            if unit.headroom >= slot.shape.accelerators and has_headroom(
                unit, slot.shape.accelerators
            ):
                units_by_key.setdefault(equivalence_key(unit), unit)
        return sorted(units_by_key.values(), key=lambda unit: (-unit.headroom, -unit.order))


def search_order(slot: GuaranteeSlot) -> tuple[int, str, str, int]:
    """Returns the sort key that puts large blocks first, since they fit in the fewest units."""
    return (-slot.shape.accelerators, slot.shape.scope.value, slot.client_account, slot.number)


def equivalence_key(unit: Unit) -> tuple[object, ...]:
    """Returns a key that is equal for units that are interchangeable for all later placements."""
    if unit.scope is Scope.DATA_CENTRE or unit.parent is None:
        return (unit.key,)
    if unit.scope is Scope.RACK:
        workers = tuple(sorted(worker.headroom for worker in unit.children.values()))
        return (unit.headroom, workers, unit.parent.key)
    return (unit.headroom, *equivalence_key(unit.parent))
