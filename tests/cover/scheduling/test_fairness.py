"""Tests of shares, starvation, defragmentation and explanations."""

from cicadatray.scheduling.decision import MoveJob
from cicadatray.scheduling.gang_outcome import GangOutcome
from cicadatray.scheduling.rules import Rules
from cicadatray.scheduling.scheduler import Scheduler
from scheduling_helpers import inventory, job, place_all, rules, shape


def test_large_gang_does_not_starve_behind_small_ones() -> None:
    """Guards against a large job that never runs because small ones keep arriving."""
    scheduler = Scheduler(inventory((4, 4)), rules(large="4w", policy="swift"))
    scheduler.submit(job("s0", "4w", "b", checkpointable=False), 0.0)
    place_all(scheduler)
    scheduler.submit(job("large", "8r", "a"), 0.0)
    now_s = 0.0
    for i in range(1, 40):
        now_s = 600.0 * i
        scheduler.submit(job(f"s{i}", "4w", "b", checkpointable=False, submitted_s=now_s), now_s)
        if "large" in place_all(scheduler, now_s):
            return
        running = [j for j in scheduler.state.jobs.values() if j.is_active]
        oldest = min(running, key=lambda j: j.placed_s, default=None)
        if oldest is not None:
            scheduler.gang_released(oldest.request.job_id, now_s, GangOutcome.COMPLETED)
    raise AssertionError("the large job never ran")


def test_capacity_follows_the_share_weights_over_time() -> None:
    """Guards against an account that gets the most capacity because it submits the most jobs."""
    wanted = Rules("swift", shape("4w"), shares={"a": 3.0, "b": 1.0})
    scheduler = Scheduler(inventory((4, 4), (4, 4)), wanted)
    for i in range(400):
        scheduler.submit(job(f"a{i}", "4w", "a", submitted_s=float(i)), float(i))
        scheduler.submit(job(f"b{i}", "4w", "b", submitted_s=float(i)), float(i))
    served = {"a": 0, "b": 0}
    for i in range(60):
        now_s = 400.0 + 3600.0 * i
        place_all(scheduler, now_s)
        for active in [j for j in scheduler.state.jobs.values() if j.is_active]:
            served[active.request.client_account] += 1
            scheduler.gang_released(active.request.job_id, now_s + 3600.0, GangOutcome.COMPLETED)
    assert served["a"] > 1.5 * served["b"]


def test_move_joins_two_halves_into_one_block() -> None:
    """Guards against idle capacity that stays split while a checkpointable job could be moved."""
    scheduler = Scheduler(inventory((4,), (4,)), rules(large="4w"))
    for i in range(4):
        scheduler.submit(job(f"j{i}", "2w"), 0.0)
    placed = place_all(scheduler)
    by_worker: dict[str, list[str]] = {}
    for job_id, decision in placed.items():
        by_worker.setdefault(decision.placement.shares[0].worker_id, []).append(job_id)
    for names in by_worker.values():
        scheduler.gang_released(names[0], 1000.0, GangOutcome.COMPLETED)
    moves = [d for d in scheduler.decide(1000.0) if isinstance(d, MoveJob)]
    assert len(moves) == 1
    scheduler.gang_released(moves[0].job_id, 1002.0, GangOutcome.CHECKPOINTED)
    scheduler.submit(job("whole", "4w"), 1002.0)
    assert set(place_all(scheduler, 1002.0)) == {moves[0].job_id, "whole"}


def test_explanation_names_cause_need_and_displaced_jobs() -> None:
    """Guards against an explanation that does not say why the job waits and what it needs."""
    scheduler = Scheduler(inventory((8,)), rules(("a", "8w", 1), large="8w"))
    scheduler.submit(job("b1", "8w", "b"), 0.0)
    place_all(scheduler)
    scheduler.submit(job("a1", "6w", "a"), 1.0)
    scheduler.decide(1.0)
    explanation = scheduler.explain("a1", 1.0)
    assert "no worker has 6 idle" in explanation.reason
    assert "6 more idle" in explanation.needs
    assert explanation.would_displace == ("b1",)
    assert "lent" in scheduler.explain("b1", 1.0).reason
