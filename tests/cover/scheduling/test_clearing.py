"""Tests of clearing workers for a waiting gang."""

import pytest

from cicadatray.scheduling.decision import MoveJob, PlaceJob
from cicadatray.scheduling.gang_outcome import GangOutcome
from cicadatray.scheduling.job import Job, JobState
from cicadatray.scheduling.move_rules import may_be_moved
from cicadatray.scheduling.reservation_manager import CLEARING_RETRY_DELAY_S, CLEARING_TIMEOUT_S
from cicadatray.scheduling.scheduler import Scheduler
from scheduling_helpers import inventory, job, place_all, rules

RESERVED_S = 1300.0


def moves(scheduler: Scheduler, now_s: float) -> list[str]:
    return [d.job_id for d in scheduler.decide(now_s) if isinstance(d, MoveJob)]


def scheduler_with_reservation() -> Scheduler:
    """Returns a scheduler with two workers reserved for `large`; `filler` starts on one of them."""
    scheduler = Scheduler(inventory((4, 4)), rules(large="4w", policy="swift"))
    scheduler.submit(job("first", "4w", "b", checkpointable=False), 0.0)
    place_all(scheduler)
    scheduler.submit(job("large", "8r"), 0.0)
    place_all(scheduler, RESERVED_S)
    scheduler.submit(job("filler", "4w", "b", submitted_s=RESERVED_S), RESERVED_S)
    placed = [d.job_id for d in scheduler.decide(RESERVED_S) if isinstance(d, PlaceJob)]
    assert placed == ["filler"]
    scheduler.gang_released("first", RESERVED_S, GangOutcome.COMPLETED)
    return scheduler


def test_starting_job_is_not_moved() -> None:
    """Guards against a job that is placed and moved repeatedly without ever running."""
    scheduler = scheduler_with_reservation()
    assert moves(scheduler, RESERVED_S + 1.0) == []
    assert moves(scheduler, RESERVED_S + 100.0) == []
    scheduler.gang_started("filler", RESERVED_S + 100.0)
    assert moves(scheduler, RESERVED_S + 101.0) == []
    assert moves(scheduler, RESERVED_S + 200.0) == ["filler"]


def test_workers_being_cleared_take_no_other_job() -> None:
    """Guards against new jobs on workers that are being cleared for a gang."""
    scheduler = scheduler_with_reservation()
    scheduler.gang_started("filler", RESERVED_S)
    now_s = RESERVED_S + 200.0
    assert moves(scheduler, now_s) == ["filler"]
    scheduler.submit(job("late", "4w", "b", submitted_s=now_s), now_s)
    assert scheduler.decide(now_s + 1.0) == []
    scheduler.gang_released("filler", now_s + 2.0, GangOutcome.CHECKPOINTED)
    assert set(place_all(scheduler, now_s + 2.0)) == {"large"}


def test_clearing_that_times_out_is_abandoned_and_delayed() -> None:
    """Guards against workers that stay idle behind a job that does not stop."""
    scheduler = scheduler_with_reservation()
    scheduler.gang_started("filler", RESERVED_S)
    now_s = RESERVED_S + 200.0
    assert moves(scheduler, now_s) == ["filler"]
    scheduler.submit(job("late", "4w", "b", submitted_s=now_s), now_s)
    now_s += CLEARING_TIMEOUT_S
    assert set(place_all(scheduler, now_s)) == {"late"}
    scheduler.gang_released("filler", now_s, GangOutcome.STOPPED)
    assert set(place_all(scheduler, now_s)) == {"filler"}
    assert moves(scheduler, now_s + CLEARING_RETRY_DELAY_S - 1.0) == []


@pytest.mark.parametrize(
    ("state", "preemptions", "run_s", "movable"),
    [
        (JobState.STARTING, 0, 1000.0, False),
        (JobState.STOPPING, 0, 1000.0, False),
        (JobState.RUNNING, 0, 59.0, False),
        (JobState.RUNNING, 0, 60.0, True),
        (JobState.RUNNING, 3, 239.0, False),
        (JobState.RUNNING, 3, 240.0, True),
    ],
)
def test_moved_job_runs_before_it_is_moved_again(
    state: JobState, preemptions: int, run_s: float, movable: bool
) -> None:
    """Guards against a job that spends most of its time on moves."""
    moved = Job(job("j", "4w"), 1)
    moved.state = state
    moved.preemptions = preemptions
    moved.started_s = 100.0
    assert may_be_moved(moved, 100.0 + run_s) is movable
