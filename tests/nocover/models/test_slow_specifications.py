"""Complete searches of the specifications that take more than 20 s each."""

import pytest

from cicadatray.internal.models import specifications
from cicadatray.internal.models.check import check_specification
from cicadatray.internal.models.registry import SPECIFICATIONS

specifications.load()


SLOW_SPECIFICATIONS = [
    "at_most_once",
    "configuration_in_force",
    "disk_loss_and_membership",
    "elections_and_commit",
    "leader_lease_reads",
    "two_promised_disk_losses",
]


@pytest.mark.parametrize("name", SLOW_SPECIFICATIONS)
def test_correct_protocol_holds(name: str) -> None:
    """Guards against a protocol that violates its invariants within the bounds."""
    result = check_specification(SPECIFICATIONS[name], None)
    assert (result.holds, result.complete, result.violated) == (True, True, "")
