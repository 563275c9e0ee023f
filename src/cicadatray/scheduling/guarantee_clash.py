"""Finds guarantees that cannot all be placed together."""

from collections.abc import Sequence

from cicadatray.scheduling.fleet import Fleet
from cicadatray.scheduling.guarantee_slot import GuaranteeSlot
from cicadatray.scheduling.rules import Guarantee
from cicadatray.scheduling.slot_search import SlotSearch, search_order

# Each step that makes the reported set of clashing guarantees smaller costs one search. After this
# many searches the set is reported as it is.
MAX_CLASH_SEARCHES = 64


def make_slots(guarantees: Sequence[Guarantee]) -> list[GuaranteeSlot]:
    """Returns one slot per guaranteed block.

    Blocks of the same account and shape are numbered from 1, also across several guarantees.
    """
    counts: dict[tuple[str, object], int] = {}
    slots = []
    for guarantee in guarantees:
        key = (guarantee.client_account, guarantee.shape)
        for _ in range(guarantee.count):
            counts[key] = counts.get(key, 0) + 1
            slots.append(GuaranteeSlot(guarantee.client_account, guarantee.shape, counts[key]))
    return slots


def can_place_together(fleet: Fleet, guarantees: Sequence[Guarantee]) -> bool:
    """Returns whether all blocks fit into the fleet at the same time.

    The fleet must hold no reservations, and holds none afterwards.
    """
    search = SlotSearch(fleet)
    placed: list[GuaranteeSlot] = []
    complete = True
    for slot in sorted(make_slots(guarantees), key=search_order):
        if not search.insert(slot, placed):
            complete = False
            break
        placed.append(slot)
    for slot in placed:
        search.detach(slot)
    return complete


def find_clash(fleet: Fleet, guarantees: Sequence[Guarantee]) -> list[int]:
    """Returns the positions of guarantees that cannot be placed together; empty if all can.

    The set is minimal when it is found within `MAX_CLASH_SEARCHES` searches: without any one of its
    guarantees the rest would fit.
    """
    clash = list(range(len(guarantees)))
    if can_place_together(fleet, guarantees):
        return []
    searches = 0
    size = max(1, len(clash) // 2)
    while size >= 1:
        start = 0
        while start < len(clash) and searches < MAX_CLASH_SEARCHES:
            remaining = clash[:start] + clash[start + size :]
            searches += 1
            if remaining and not can_place_together(fleet, [guarantees[i] for i in remaining]):
                clash = remaining
            else:
                start += size
        size //= 2
    return clash
