"""Tests of guarantees and reclaims."""

import pytest

from cicadatray.scheduling.decision import PlaceJob, ReclaimJob
from cicadatray.scheduling.gang_outcome import GangOutcome
from cicadatray.scheduling.placement import Placement, WorkerShare
from cicadatray.scheduling.scheduler import Scheduler
from scheduling_helpers import inventory, job, place_all, rules

POLICIES = ["compact", "swift"]


def reclaimed(scheduler: Scheduler, now_s: float) -> list[str]:
    decisions = scheduler.decide(now_s)
    return sorted(d.job_id for d in decisions if isinstance(d, ReclaimJob))


@pytest.mark.parametrize("policy", POLICIES)
def test_urgent_job_is_placed_when_its_victims_are_released(policy: str) -> None:
    """Guards against an urgent job that waits behind lent capacity or starts before it is released.

    While capacity is reclaimed for the job, it must not be placed elsewhere either.
    """
    scheduler = Scheduler(inventory((8, 8)), rules(("a", "8w", 1), policy=policy))
    for name in ("x", "y"):
        scheduler.submit(job(name, "8w", "b", checkpointable=False), 0.0)
    place_all(scheduler)
    scheduler.submit(job("u", "8w", "a", urgent=True), 100.0)
    victims = reclaimed(scheduler, 100.0)
    assert len(victims) == 1
    assert scheduler.decide(100.5) == []
    other = ({"x", "y"} - set(victims)).pop()
    scheduler.gang_released(victims[0], 101.0, GangOutcome.STOPPED)
    assert [d.job_id for d in scheduler.decide(101.0) if isinstance(d, PlaceJob)] == ["u"]
    assert scheduler.state.jobs[other].is_active


@pytest.mark.parametrize("policy", POLICIES)
def test_reclaim_loses_least_work_and_preempts_fewest_jobs(policy: str) -> None:
    """Guards against stopping a long run or many small jobs when one cheap victim suffices."""
    scheduler = Scheduler(inventory((8,), (8,), (8,)), rules(("a", "8w", 1), policy=policy))
    scheduler.submit(job("long", "8w", "b", checkpointable=False), 0.0)
    scheduler.submit(job("saved", "8w", "b", checkpointable=True), 0.0)
    for name in "pqrstuvw":
        scheduler.submit(job(name, "1w", "b", checkpointable=True), 0.0)
    assert len(place_all(scheduler)) == 10
    scheduler.submit(job("urgent", "8w", "a", urgent=True), 9000.0)
    assert reclaimed(scheduler, 9000.0) == ["saved"]


@pytest.mark.parametrize("policy", POLICIES)
def test_urgent_job_beyond_its_guarantee_waits_as_an_ordinary_one(policy: str) -> None:
    """Guards against an account that displaces others by marking all its jobs as urgent."""
    scheduler = Scheduler(inventory((8,), (8,)), rules(("a", "8w", 1), policy=policy))
    scheduler.submit(job("first", "8w", "a", urgent=True), 0.0)
    scheduler.submit(job("other", "8w", "b"), 0.0)
    place_all(scheduler)
    scheduler.submit(job("second", "8w", "a", urgent=True), 1.0)
    assert scheduler.decide(1.0) == []
    assert scheduler.explain("second", 1.0).state == "waiting"


@pytest.mark.parametrize("policy", POLICIES)
def test_job_inside_its_own_guarantee_is_never_a_victim(policy: str) -> None:
    """Guards against a reclaim for one account that uses another account's guarantee."""
    scheduler = Scheduler(
        inventory((8,), (8,)), rules(("a", "8w", 1), ("b", "8w", 1), policy=policy)
    )
    scheduler.submit(job("b-first", "8w", "b", urgent=True), 0.0)
    scheduler.submit(job("c", "8w", "c"), 0.0)
    place_all(scheduler)
    scheduler.submit(job("a-first", "8w", "a", urgent=True), 1.0)
    assert reclaimed(scheduler, 1.0) == ["c"]


@pytest.mark.parametrize("policy", POLICIES)
def test_loss_names_the_guarantee_at_risk_and_restores_it_first(policy: str) -> None:
    """Guards against a guarantee that cannot be placed after a loss and is not reported."""
    scheduler = Scheduler(inventory((8,), (8,)), rules(("a", "8w", 1), ("b", "8w", 1)))
    scheduler.worker_lost("d0r1w0", 0.0)
    at_risk = scheduler.guarantees_at_risk()
    assert len(at_risk) == 1
    urgent = job("u", "8w", at_risk[0].client_account, urgent=True)
    scheduler.worker_returned("d0r1w0", 1.0)
    assert scheduler.guarantees_at_risk() == []
    scheduler.submit(urgent, 1.0)
    assert list(place_all(scheduler, 1.0)) == ["u"]


@pytest.mark.parametrize("policy", POLICIES)
def test_new_leader_keeps_urgent_jobs_inside_their_guarantee(policy: str) -> None:
    """Guards against a new leader that stops a running job inside its guarantee."""
    wanted = rules(("a", "8w", 1), ("b", "8w", 1), policy=policy)
    first = Scheduler(inventory((8,), (8,)), wanted)
    request = job("b-first", "8w", "b", urgent=True)
    first.submit(request, 0.0)
    placement = place_all(first)["b-first"].placement
    for worker_id in ("d0r0w0", "d0r1w0"):
        placement = type(placement)((type(placement.shares[0])(worker_id, 8),))
        second = Scheduler(inventory((8,), (8,)), wanted)
        second.restore_running(request, placement, 0.0)
        second.submit(job("a-first", "8w", "a", urgent=True), 1.0)
        assert second.block_of("b-first") is not None
        assert [type(decision) for decision in second.decide(1.0)] == [PlaceJob]


@pytest.mark.parametrize("policy", POLICIES)
def test_restored_gang_keeps_its_guarantee_where_the_new_plan_keeps_other_blocks(
    policy: str,
) -> None:
    """Guards against stopping a gang inside its guarantee because a free block is on its workers.

    The plan of the new leader had reserved a block of worker scope inside the rack of the gang.
    """
    wanted = rules(("a", "8w", 1), ("b", "16r", 1), policy=policy)
    for names in (("d0r0w0", "d0r0w1"), ("d0r0w1", "d0r0w2"), ("d0r0w0", "d0r0w2")):
        scheduler = Scheduler(inventory((8, 8, 8)), wanted)
        placement = Placement(tuple(WorkerShare(name, 8) for name in names))
        scheduler.restore_running(job("gang", "16r", "b", urgent=True), placement, 0.0)
        scheduler.submit(job("claim", "8w", "a", urgent=True), 1.0)
        assert scheduler.block_of("gang") is not None
        assert [type(decision) for decision in scheduler.decide(1.0)] == [PlaceJob]


@pytest.mark.parametrize("workers", [("d0r0w0", "d0r1w0"), ("d0r1w0", "d0r0w0")])
def test_restored_urgent_gang_takes_its_block_from_ordinary_jobs_of_the_account(
    workers: tuple[str, str],
) -> None:
    """Guards against an ordinary job that, restored first, keeps the guaranteed block."""
    scheduler = Scheduler(inventory((8,), (8,)), rules(("a", "8w", 1), ("b", "8w", 1)))
    for name, worker_id in zip(("ordinary", "urgent"), workers, strict=True):
        request = job(name, "8w", "b", urgent=name == "urgent")
        scheduler.restore_running(request, Placement((WorkerShare(worker_id, 8),)), 0.0)
    assert scheduler.block_of("urgent") is not None
    scheduler.submit(job("claim", "8w", "a", urgent=True), 1.0)
    assert reclaimed(scheduler, 1.0) == ["ordinary"]


def test_configuration_change_fails_a_job_that_can_no_longer_run() -> None:
    """Guards against a job that waits for ever after its only rack has left the inventory."""
    scheduler = Scheduler(inventory((8, 8), (8,)), rules(large="8r"))
    scheduler.submit(job("hold", "16r"), 0.0)
    place_all(scheduler)
    scheduler.submit(job("j", "16r"), 0.0)
    scheduler.replace_configuration(inventory((8,), (8,)), rules(large="8r"), 1.0)
    assert "no rack has more than 8" in str(scheduler.decide(1.0))


def test_unplaced_claim_gives_way_to_a_guarantee_at_risk() -> None:
    """Guards against an unplaced claim that prevents the placement of another account's block.

    After a loss, the claim held the only worker with 4 accelerators.
    """
    wanted = rules(("a", "4w", 1), ("c", "4d", 1), large="4w")
    scheduler = Scheduler(inventory((4,), (4,), (2, 2)), wanted)
    for name, text in (("x", "4w"), ("y", "4w"), ("z", "4r")):
        scheduler.submit(job(name, text, "b", checkpointable=name == "x"), 0.0)
    place_all(scheduler)
    scheduler.submit(job("u", "4d", "c", urgent=True), 100.0)
    scheduler.decide(100.0)
    for worker_id in ("d0r0w0", "d0r1w0"):
        scheduler.worker_lost(worker_id, 100.0)
        assert scheduler.guarantees_at_risk() == []
        scheduler.worker_returned(worker_id, 100.0)
