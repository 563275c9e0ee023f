"""Tests that the checker detects every defect seeded into a specification."""

import pytest

from cicadatray.internal.models import specifications
from cicadatray.internal.models.check import check_specification
from cicadatray.internal.models.registry import SPECIFICATIONS

specifications.load()

# Searches that take more than 20 s are in tests/nocover/models.
SLOW_SPECIFICATIONS = {
    "at_most_once",
    "configuration_in_force",
    "disk_loss_and_membership",
    "elections_and_commit",
    "leader_lease_reads",
    "two_promised_disk_losses",
}
DEFECTS = [(name, str(d)) for name, spec in SPECIFICATIONS.items() for d in spec.defects]


@pytest.mark.parametrize(("name", "defect"), DEFECTS)
def test_seeded_defect_is_found(name: str, defect: str) -> None:
    """Guards against invariants or actions too weak to detect a missing rule."""
    result = check_specification(SPECIFICATIONS[name], defect)
    assert result.violated
    assert len(result.trace) == result.steps + 1


@pytest.mark.parametrize("name", sorted(set(SPECIFICATIONS) - SLOW_SPECIFICATIONS))
def test_correct_protocol_holds(name: str) -> None:
    """Guards against a protocol that violates its invariants within the bounds."""
    result = check_specification(SPECIFICATIONS[name], None)
    assert (result.holds, result.complete, result.violated) == (True, True, "")
