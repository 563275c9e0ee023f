"""Complete searches that take more than 20 s."""

import pytest

from cicadatray.internal.models import specifications
from cicadatray.internal.models.check import check_specification
from cicadatray.internal.models.registry import SPECIFICATIONS

specifications.load()


@pytest.mark.parametrize("name", ["at_most_once"])
def test_correct_protocol_holds(name: str) -> None:
    """Guards against a protocol that loses its invariants within the bounds."""
    result = check_specification(SPECIFICATIONS[name], None)
    assert (result.holds, result.complete, result.violated) == (True, True, "")
