"""Tests of the configuration check."""

import pytest

from cicadatray.scheduling.check_configuration import check_configuration
from cicadatray.scheduling.inventory import Inventory
from cicadatray.scheduling.rules import Rules
from scheduling_helpers import inventory, rules, shape

TWO_RACKS = inventory((8, 8, 8), (8, 4))


@pytest.mark.parametrize(
    ("checked_rules", "paths"),
    [
        (rules(("a", "16r", 1), ("b", "8w", 1)), []),
        (rules(policy="fastest"), ["rules.policy"]),
        (rules(("a", "32r", 1)), ["rules.guarantees[0].shape"]),
        (rules(large="99d"), ["rules.large_job"]),
        (
            rules(("a", "0r", 0)),
            ["rules.guarantees[0].shape.accelerators"] + ["rules.guarantees[0].count"],
        ),
        (Rules("compact", shape("8w"), shares={"a": 0.0}), ["rules.shares[a]"]),
        (
            rules(("a", "20r", 1), ("b", "4r", 1), ("c", "16r", 1)),
            ["rules.guarantees[0]", "rules.guarantees[2]"],
        ),
        (
            rules(("a", "8w", 2), ("b", "1w", 1), ("c", "8w", 3)),
            ["rules.guarantees[0]", "rules.guarantees[2]"],
        ),
        (rules(("a", "5r", 7)), ["rules.guarantees[0]"]),
    ],
)
def test_faults_name_the_value(checked_rules: Rules, paths: list[str]) -> None:
    """Guards against accepting impossible rules and against blaming guarantees that fit."""
    assert [fault.path for fault in check_configuration(TWO_RACKS, checked_rules)] == paths


def test_duplicate_worker_is_named() -> None:
    """Guards against counting a worker twice when two members have registered it."""
    workers = TWO_RACKS.workers
    faults = check_configuration(Inventory((*workers, workers[1])), rules())
    assert [(f.path, f.value) for f in faults] == [("inventory.workers[5].worker_id", "d0r0w1")]


def test_unknown_account_is_named() -> None:
    """Guards against a guarantee for a misspelt account."""
    faults = check_configuration(TWO_RACKS, rules(("b", "8w", 1)), frozenset({"a"}))
    assert [fault.value for fault in faults] == ["b"]


def test_rearranges_blocks_before_refusing() -> None:
    """Guards against refusing rules that only a search beyond the tightest fit can place.

    Tightest fit in descending order fills one worker with 6 + 4 and finds no room for the last 3.
    """
    guarantees = [("a", "6w", 1), ("b", "4w", 3), ("c", "3w", 2)]
    assert check_configuration(inventory((12,), (12,)), rules(*guarantees, large="4w")) == []
