"""Tests of the baseline policies and of the capacity that the scheduler tracks."""

import pytest

from cicadatray.scheduling.gang_outcome import GangOutcome
from cicadatray.scheduling.scheduler import Scheduler
from scheduling_helpers import inventory, job, place_all, rules

ALL_POLICIES = ["first_fit", "best_fit_backfill"]


@pytest.mark.parametrize("policy", ALL_POLICIES)
def test_capacity_is_reusable_only_after_release(policy: str) -> None:
    """Guards against allocating accelerators on which the previous gang may still run."""
    scheduler = Scheduler(inventory((8, 8)), rules(policy=policy))
    scheduler.submit(job("first", "16r"), 0.0)
    scheduler.submit(job("second", "16r"), 0.0)
    assert list(place_all(scheduler)) == ["first"]
    scheduler.cancel("first", 1.0)
    assert place_all(scheduler, 1.0) == {}
    scheduler.gang_released("first", 2.0, GangOutcome.CANCELLED)
    assert list(place_all(scheduler, 2.0)) == ["second"]


@pytest.mark.parametrize("policy", ALL_POLICIES)
def test_lost_worker_gets_no_gang_and_its_job_is_requeued(policy: str) -> None:
    """Guards against a placement on a lost worker and against losing the job that ran there."""
    scheduler = Scheduler(inventory((8,), (8,)), rules(policy=policy))
    scheduler.submit(job("j", "8w"), 0.0)
    first = place_all(scheduler)["j"].placement.shares[0].worker_id
    scheduler.worker_lost(first, 1.0)
    scheduler.gang_released("j", 2.0, GangOutcome.WORKER_LOST)
    assert place_all(scheduler, 2.0)["j"].placement.shares[0].worker_id != first


def test_impossible_job_is_refused_with_largest_shape() -> None:
    """Guards against queueing a job that can never run."""
    scheduler = Scheduler(inventory((8, 8), (8, 4)), rules(policy="first_fit"))
    refused = scheduler.submit(job("j", "17r"), 0.0)
    assert not refused.accepted
    assert refused.largest_shape is not None
    assert refused.largest_shape.accelerators == 16


def test_best_fit_uses_the_fullest_unit() -> None:
    """Guards against breaking up an idle rack for a small job."""
    scheduler = Scheduler(inventory((8, 8), (8, 4)), rules(policy="best_fit_backfill"))
    scheduler.submit(job("j", "4w"), 0.0)
    assert place_all(scheduler)["j"].placement.shares[0].worker_id == "d0r1w1"
