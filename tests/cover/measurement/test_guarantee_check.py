"""Tests of the exact check of guarantees."""

from itertools import product
from random import Random

import pytest

from cicadatray.internal.bench.measurement.guarantee_check import GuaranteeCheck
from cicadatray.scheduling.inventory import Inventory, WorkerRecord
from cicadatray.scheduling.placement import Placement
from cicadatray.scheduling.rules import Guarantee
from cicadatray.scheduling.shape import Scope, Shape
from cover.measurement.builders import RACK_16, make_inventory, make_placement

WORKER_8 = Shape(8, Scope.WORKER)
SITE_24 = Shape(24, Scope.DATA_CENTRE)


@pytest.mark.parametrize(
    ("racks", "guarantees", "lost", "satisfied"),
    [
        ({"a": 3, "b": 3}, [RACK_16, RACK_16, WORKER_8, WORKER_8], set(), True),
        # 48 accelerators are enough in total, but each rack holds only one block of 16.
        ({"a": 3, "b": 3}, [RACK_16, RACK_16, RACK_16], set(), False),
        # The worker blocks have to be packed into one rack to leave the other one free.
        ({"a": 2, "b": 2}, [WORKER_8, WORKER_8, RACK_16], set(), True),
        ({"a": 3, "b": 1}, [SITE_24, WORKER_8], set(), True),
        ({"a": 3, "b": 1}, [SITE_24, WORKER_8], {"b0"}, False),
        ({"a": 3}, [RACK_16], {"a1"}, True),
        ({"a": 3}, [RACK_16], {"a1", "a2"}, False),
    ],
)
def test_satisfied_exactly_when_all_guarantees_can_be_placed(
    racks: dict[str, int], guarantees: list[Shape], lost: set[str], satisfied: bool
) -> None:
    """Guards against a check that counts accelerators without regard to adjacency."""
    rules = tuple(Guarantee("owner", shape) for shape in guarantees)
    assert GuaranteeCheck(make_inventory(racks), rules).satisfied(lost) is satisfied


@pytest.mark.parametrize(
    ("held", "satisfied"),
    [
        # The block is completed around the gang, and the other block fits in rack b.
        (make_placement(a0=8), True),
        # Spread over both racks, the gang leaves no complete block for the other one.
        (make_placement(a0=4, b0=4), False),
    ],
)
def test_gangs_inside_a_guarantee_are_not_available(held: Placement, satisfied: bool) -> None:
    """Guards against counting capacity as reclaimable that its owner is using."""
    check = GuaranteeCheck(make_inventory({"a": 2, "b": 2}), (Guarantee("owner", RACK_16, 2),))
    check.hold(0, "job", held)
    assert check.satisfied(set()) is satisfied


def test_a_block_covers_only_shapes_of_its_account_that_fit() -> None:
    """Guards against measuring claims that exceed the guarantee."""
    check = GuaranteeCheck(
        make_inventory({"a": 3}), (Guarantee("owner", RACK_16), Guarantee("owner", WORKER_8))
    )
    assert check.free_block("owner", WORKER_8, set()) == 1
    assert check.free_block("owner", WORKER_8, {1}) == 0
    assert check.free_block("owner", SITE_24, set()) is None
    assert check.free_block("other", WORKER_8, set()) is None


def fits_by_enumeration(blocks: list[int], racks: list[list[int]]) -> bool:
    """Tries every way to take each block's accelerators one by one inside one rack."""
    if not blocks:
        return True
    for rack in racks:
        for counts in product(*(range(idle + 1) for idle in rack)):
            if sum(counts) != blocks[0]:
                continue
            rest = [idle - count for idle, count in zip(rack, counts, strict=True)]
            others = [rest if each is rack else each for each in racks]
            if fits_by_enumeration(blocks[1:], others):
                return True
    return False


def test_agrees_with_an_enumeration_of_all_placements() -> None:
    """Guards against a fault in the reasoning that only the sums over units matter."""
    random = Random("guarantees")
    seen = set()
    for _ in range(150):
        sizes = [[random.randrange(4) for _ in range(2)] for _ in range(3)]
        blocks = [random.randrange(1, 5) for _ in range(4)]
        workers = [
            WorkerRecord(f"{rack}-{index}", "site", str(rack), idle, 64, 128, "member")
            for rack, row in enumerate(sizes)
            for index, idle in enumerate(row)
        ]
        rules = tuple(Guarantee("owner", Shape(size, Scope.RACK)) for size in blocks)
        satisfied = GuaranteeCheck(Inventory(tuple(workers)), rules).satisfied(set())
        assert satisfied is fits_by_enumeration(blocks, sizes)
        seen.add(satisfied)
    assert seen == {True, False}
