"""Tests of the blocks that urgent jobs claim."""

from cicadatray.internal.bench.measurement.claims import Claims
from cicadatray.internal.bench.measurement.job_record import JobRecord
from cicadatray.scheduling.rules import Guarantee
from cover.measurement.builders import RACK_16, make_inventory, make_placement, make_plan


def test_a_running_job_gets_the_block_that_an_earlier_claim_frees() -> None:
    """Guards against measuring a claim whose account already uses as much as it is guaranteed."""
    claims = Claims(make_inventory({"a": 3, "b": 3}), (Guarantee("owner", RACK_16),))
    first, second, third = (
        JobRecord(make_plan(name, RACK_16, urgent=True)) for name in ("first", "second", "third")
    )
    claims.on_submitted(first, set(), 0.0)
    claims.on_placed(first, make_placement(a0=8, a1=8))
    claims.on_submitted(second, set(), 10.0)
    claims.on_placed(second, make_placement(b0=8, b1=8))
    claims.guarantee_check.release("first")
    claims.on_ended(first)
    claims.on_submitted(third, set(), 20.0)
    assert claims.measured == [first]
    # The second job was placed on lent capacity, so it can still be stopped.
    assert not claims.guarantee_check.holds("second")


def test_claims_near_a_loss_are_not_measured_against_the_target() -> None:
    """Guards against counting capacity that is still under a lease against the scheduler."""
    inventory = make_inventory({"a": 3, "b": 3, "c": 3})
    claims = Claims(inventory, (Guarantee("owner", RACK_16, 3),))
    waiting, soon_after, later = (
        JobRecord(make_plan(name, RACK_16, urgent=True)) for name in ("waiting", "soon", "later")
    )
    claims.on_submitted(waiting, set(), 0.0)
    assert not waiting.disturbed
    claims.on_worker_lost(5.0)
    claims.on_submitted(soon_after, set(), 10.0)
    claims.on_submitted(later, set(), 20.0)
    assert [record.disturbed for record in claims.measured] == [True, True, False]
