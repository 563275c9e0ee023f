"""The estimator of worker speeds, with reports of workers of known speeds."""

import math
from collections.abc import Iterator
from statistics import mean

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cicadatray.scheduling.taskgraphs.run_pace import ProgressReport
from cicadatray.scheduling.taskgraphs.speed_solver import WORKER_DEVIATION
from cicadatray.scheduling.taskgraphs.worker_paces import MAX_ENDED_RUNS
from cicadatray.scheduling.taskgraphs.worker_speeds import (
    MAX_FOLLOWED,
    MAX_RUNS,
    MAX_RUNS_PER_WORKER,
    PART_INTERVAL_S,
    UPDATE_INTERVAL_S,
    WORKERS_PER_UPDATE,
    WorkerSpeeds,
)
from cover.taskgraphs.paced_fleet import PacedFleet, SpeedOf, constant, spell

NUMBER = 24


def make_fleet(
    changed: dict[int, SpeedOf], seed: int, grain: int = 1, delay_s: float = 0.1
) -> PacedFleet:
    speeds = {f"w{n}": changed.get(n, constant(1.0)) for n in range(NUMBER)}
    return PacedFleet(speeds, seed, grain, delay_s)


@pytest.mark.parametrize("seed", range(1, 4))
@pytest.mark.parametrize(("grain", "delay_s"), [(1, 0.1), (1, 1.0), (10, 0.1), (20, 0.5)], ids=str)
def test_quarter_of_the_workers_at_half_speed(seed: int, grain: int, delay_s: float) -> None:
    """Load: a quarter of the workers at half speed for good, reports late or in coarse steps.

    Guards against urgent gangs on workers on which they are late from the start.
    """
    fleet = make_fleet({n: constant(0.5) for n in range(0, NUMBER, 4)}, seed, grain, delay_s)
    fleet.run(12.0)
    judged_slow = {n for n in range(NUMBER) if fleet.speed(f"w{n}") < 0.75}
    slow = set(range(0, NUMBER, 4))
    # Targets: a slow worker is known after 3 s of work; false verdicts cost an eighth of the pool.
    assert slow <= judged_slow
    assert len(judged_slow - slow) <= NUMBER / 8
    assert fleet.estimator.spread("pool")


@pytest.mark.parametrize("seed", range(1, 4))
@pytest.mark.parametrize("speed", [0.2, 0.33])
def test_slow_spell_is_believed_and_forgiven(seed: int, speed: float) -> None:
    """Load: some workers are several times slower for 6 s in a burst.

    Guards against placing on a worker that has become slow, and against avoiding it afterwards.
    """
    slow = [3, 8, 13, 18]
    fleet = make_fleet({n: spell(speed, 12.0, 18.0) for n in slow}, seed)
    fleet.run(12.0)
    assert min(fleet.speed(f"w{n}") for n in slow) > 0.7
    fleet.run(15.5)
    assert max(fleet.speed(f"w{n}") for n in slow) < 0.6
    fleet.run(22.0)
    assert min(fleet.speed(f"w{n}") for n in slow) > 0.7


@pytest.mark.parametrize("seed", range(1, 6))
def test_worker_that_stands_still(seed: int) -> None:
    """Load: one worker stands still from a moment on, while its reports go on.

    Guards against a worker without any progress that counts as one without any news.
    """
    fleet = make_fleet({5: spell(0.0, 10.0, math.inf)}, seed)
    # Target: known with 3 s of work at the new pace, reported once a second.
    fleet.run(14.0)
    assert fleet.speed("w5") < 0.25


@pytest.mark.parametrize("seed", range(1, 6))
def test_crawl_of_a_second(seed: int) -> None:
    """Load: one worker crawls for a second and recovers.

    Guards against shutting out a worker for a pause.
    """
    fleet = make_fleet({5: spell(0.05, 10.0, 11.0)}, seed)
    lowest = 1.0
    for tenth in range(100, 140):
        fleet.run(tenth / 10)
        lowest = min(lowest, fleet.speed("w5"))
    assert lowest > 0.4
    fleet.run(15.0)
    assert fleet.speed("w5") > 0.75


@pytest.mark.parametrize("seed", range(1, 4))
def test_new_leader_knows_nothing_and_learns(seed: int) -> None:
    """Load: a new leader meets runs that are half done on slow and fast workers.

    Guards against progress made before its term that counts as speed. What still runs of an old
    step may be on slow workers only, so that single workers are told apart later.
    """
    fleet = make_fleet({n: constant(0.5) for n in range(0, NUMBER, 4)}, seed)
    fleet.run(10.3)
    fleet.estimator = WorkerSpeeds()
    assert fleet.speed("w0") == fleet.speed("w1") == 1.0
    for tenth in range(104, 130):
        fleet.run(tenth / 10)
        # No worker is faster than 1; 1.6 is about two deviations (0.25 each) of a single task.
        assert max(fleet.speed(f"w{n}") for n in range(NUMBER)) < 1.6
    fleet.run(15.3)
    logs = [math.log(fleet.speed(f"w{n}")) for n in range(NUMBER)]
    slow = mean(logs[n] for n in range(0, NUMBER, 4))
    assert slow < mean(logs[n] for n in range(NUMBER) if n % 4) - 0.2


def test_reborn_worker_is_unknown() -> None:
    """Load: a slow worker is replaced by a new process on the same machine.

    Guards against a new incarnation that inherits the speed of the old one.
    """
    fleet = make_fleet({0: constant(0.4)}, 1)
    fleet.run(10.0)
    assert fleet.speed("w0") < 0.7
    fleet.replace("w0", "w0-b")
    for worker in ("w0", "w0-b"):
        assert fleet.speed(worker) == 1.0
        assert fleet.estimator.uncertainty(worker) == pytest.approx(WORKER_DEVIATION)
        assert fleet.estimator.observations(worker) == 0


@settings(max_examples=12, deadline=None, derandomize=True)
@given(seed=st.integers(0, 10_000))
def test_equal_workers_are_not_judged(seed: int) -> None:
    """Load: equal workers whose tasks vary by a log deviation of 0.25, estimates by 0.5.

    Guards against false verdicts: at most an eighth of the pool may be slow beyond its uncertainty
    at a time, none nearly stands still, and the pool does not count as uneven.
    """
    fleet = make_fleet({}, seed)
    for second in range(6, 20, 2):
        fleet.run(float(second))
        speeds = [fleet.speed(f"w{n}") for n in range(NUMBER)]
        highest = [
            speed * math.exp(fleet.estimator.uncertainty(f"w{n}")) for n, speed in enumerate(speeds)
        ]
        assert sum(speed < 0.8 for speed in highest) <= NUMBER // 8
        assert min(speeds) > 0.4
        assert not fleet.estimator.spread("pool")


def test_gang_does_not_pull_speeds_together() -> None:
    """Load: workers that all run members of one slow gang besides their own tasks.

    Guards against fast workers that look slow because a slow one holds back their gang.
    """
    estimator = WorkerSpeeds()
    for second in range(12):
        for number in range(8):
            speed = 0.4 if number == 0 else 1.0
            single = ProgressReport(
                f"s{number}", "s", "batch", 20.0, False, int(5 * second * speed)
            )
            gang = ProgressReport(f"g{number}", "g", "gangs", 20.0, True, int(5 * second * 0.4))
            estimator.report(f"w{number}", "pool", [single, gang], float(second))
        estimator.update(float(second))
    assert estimator.speed("w0") < 0.6
    assert min(estimator.speed(f"w{n}") for n in range(1, 8)) > 0.9


def test_long_start_is_not_slowness() -> None:
    """Load: tasks that start or restore for 0.6 s before they progress.

    Guards against a worker with many short tasks that looks slow because of their starts.
    """
    estimator = WorkerSpeeds()
    for tick in range(12):
        now_s = tick * 0.5
        for number in range(6):
            idle_s = 0.6 if number == 0 else 0.1
            percent = max(0, int(25 * (now_s - idle_s)))
            report = ProgressReport(f"r{number}", "s", "batch", 4.0, False, min(99, percent))
            estimator.report(f"w{number}", "pool", [report], now_s)
        estimator.update(now_s)
    assert estimator.speed("w0") > 0.9


def test_stopped_run_leaves_no_evidence() -> None:
    """A displaced run disappears from the reports; it must not count as done or as still."""
    estimator = WorkerSpeeds()
    report = ProgressReport("r", "s", "batch", 10.0, False, 10)
    estimator.report("w", "pool", [report], 0.0)
    estimator.report("w", "pool", [], 1.0)
    for second in range(2, 9):
        estimator.report("w", "pool", [], float(second))
        estimator.update(float(second))
    assert estimator.speed("w") == 1.0
    assert not estimator.corrections.queues


@pytest.mark.parametrize("workers", [73, 600, 6_100])
def test_cost_of_an_update_is_bounded(workers: int) -> None:
    """Load: many workers with nine runs each.

    Guards against an update whose cost, or books whose space, grow with the number of runs. The
    observations and the reports that are read are counted; every worker has its turn.
    """
    estimator = WorkerSpeeds()
    read = 0

    def reports_of(worker: int, second: int) -> Iterator[ProgressReport]:
        nonlocal read
        for n in range(9):
            read += 1
            run_id = f"{worker}.{n}"
            yield ProgressReport(run_id, f"s{n}", "batch", 20.0, False, 3 + second)

    def report_all(second: int) -> int:
        nonlocal read
        read = 0
        for worker in range(workers):
            estimator.report(f"w{worker}", "pool", reports_of(worker, second), float(second))
        return read

    for second in range(6):
        report_all(second)
        for part in range(5):
            estimator.update(second + part * PART_INTERVAL_S)
    now_s, reported_s = 6.0, 5
    most = WORKERS_PER_UPDATE * (MAX_RUNS_PER_WORKER + MAX_ENDED_RUNS)
    # The first turn of the workers that were followed for less than 4 s shows nothing.
    for _ in range(2 * math.ceil(workers / WORKERS_PER_UPDATE)):
        assert estimator.update(now_s)
        assert not estimator.update(now_s + PART_INTERVAL_S - 0.01)
        assert 0 < estimator.solved_observations <= most
        now_s += PART_INTERVAL_S + 0.001
        if now_s >= reported_s + 1:
            reported_s += 1
            # One more report of each worker is read to find that its limit is reached.
            assert report_all(reported_s) <= MAX_FOLLOWED * (MAX_RUNS_PER_WORKER + 1)
            assert sum(len(record.runs) for record in estimator.workers.values()) <= MAX_RUNS
        if workers <= WORKERS_PER_UPDATE:
            now_s += UPDATE_INTERVAL_S
    assert all(estimator.observations(f"w{n}") for n in range(workers))
