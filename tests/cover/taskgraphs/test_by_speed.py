"""Placement by the speeds of workers."""

import asyncio
import time
from types import SimpleNamespace
from typing import Any

import pytest
from msgspec.structs import replace

from cicadatray.internal.bench.virtual_time_loop import run_virtual
from cicadatray.internal.control.control_state import ControlState
from cicadatray.internal.control.graphs.graph_session import GraphSession
from cicadatray.internal.control.graphs.placement_input import build_running, build_workers
from cicadatray.internal.control.graphs.speed_description import (
    describe_speeds,
    register_speed_gauge,
)
from cicadatray.internal.observability.metrics_registry import MetricsRegistry
from cicadatray.internal.wire.messages.graph_messages import RunEnd, RunReport, SyncWorker
from cicadatray.scheduling.taskgraphs.placement_plan import PlacementPlan
from cicadatray.scheduling.taskgraphs.placement_round import PlacementRound
from cicadatray.scheduling.taskgraphs.rules.rule_memory import RuleMemory
from cicadatray.scheduling.taskgraphs.rules.scheduling_rules import SchedulingRules
from cicadatray.scheduling.taskgraphs.run_outcome import RunOutcome
from cicadatray.scheduling.taskgraphs.running_work import RunningWork
from cicadatray.scheduling.taskgraphs.speed_spread import SpeedSpread
from cicadatray.scheduling.taskgraphs.start_limits import StartLimits
from cicadatray.scheduling.taskgraphs.step import Step
from cicadatray.scheduling.taskgraphs.task_id import TaskId, TaskRun
from cicadatray.scheduling.taskgraphs.waiting_work import WaitingWork
from cicadatray.scheduling.taskgraphs.worker_capacity import WorkerCapacity
from cover.taskgraphs.placement_helpers import (
    HALF,
    ONE,
    WHOLE,
    make_graph,
    make_running,
    make_waiting,
    make_workers,
)
from cover.taskgraphs.test_graph_session import LEASES, call

BY_SPEED = SchedulingRules(candidates="by_speed")
SLOW = 0.46


def make_uneven(racks: list[int], slow: list[int]) -> list[WorkerCapacity]:
    """Returns workers of which the numbered ones are known to be slow."""
    workers = make_workers(racks)
    for number, worker in enumerate(workers):
        worker.speed = SLOW if number in slow else 1.0
        worker.speed_uncertainty = 0.05
    return workers


def plan(
    workers: list[WorkerCapacity],
    waiting: list[WaitingWork],
    running: list[RunningWork] | None = None,
    now_s: float = 0.0,
    memory: RuleMemory | None = None,
    rules: SchedulingRules = BY_SPEED,
) -> PlacementPlan:
    round_ = PlacementRound(workers, running or [], now_s, rules=rules, memory=memory)
    return round_.run(waiting)


def places(made: PlacementPlan) -> list[str]:
    return [assignment.worker_id for assignment in made.assignments]


@pytest.mark.parametrize("is_rack_local", [False, True])
def test_urgent_gang_avoids_slow_workers(is_rack_local: bool) -> None:
    """Load: a quarter of the workers at half speed for good.

    Guards against an urgent gang that is late because one member runs on a slow worker.
    """
    workers = make_uneven([4, 4], [0, 4])
    step = Step(3, WHOLE, 5.0, is_gang=True, is_rack_local=is_rack_local)
    assert set(places(plan(workers, make_waiting(step, 0)))).isdisjoint({"w0", "w4"})


def test_batch_fills_slow_workers_first() -> None:
    """Guards against batches with slack that occupy the fast workers urgent gangs need."""
    workers = make_uneven([4, 4], [0, 4])
    made = plan(workers, make_waiting(Step(16, ONE, 5.0), 2))
    assert set(places(made)) == {"w0", "w4"}


def test_batch_without_slack_avoids_slow_workers() -> None:
    """Guards against work that is late on a slow worker while a fast one is free."""
    workers = make_uneven([4, 4], [0, 4])
    made = plan(workers, make_waiting(Step(4, ONE, 10.0), 2), now_s=15.0)
    assert len(places(made)) == 4
    assert set(places(made)).isdisjoint({"w0", "w4"})


@pytest.mark.parametrize(("count", "fast"), [(2, {"w0", "w1"}), (3, set())])
def test_urgent_gang_takes_fast_workers_if_they_hold_all_of_it(count: int, fast: set[str]) -> None:
    """Load: a quarter of the workers is twice as fast as the others.

    Guards against gangs that hold fast workers at the pace of a typical one.
    """
    workers = make_workers([8])
    for worker in workers[:2]:
        worker.speed, worker.speed_uncertainty = 2.2, 0.1
    made = plan(workers, make_waiting(Step(count, WHOLE, 5.0, is_gang=True), 0))
    assert set(places(made)) & {"w0", "w1"} == fast


@pytest.mark.parametrize("is_gang", [False, True])
def test_work_with_slack_stays_off_fast_workers(is_gang: bool) -> None:
    """Guards against batches on the fast workers while typical ones are free."""
    workers = make_workers([8])
    for worker in workers[:2]:
        worker.speed, worker.speed_uncertainty = 2.2, 0.1
    made = plan(workers, make_waiting(Step(6, WHOLE, 5.0, is_gang=is_gang), 2))
    assert set(places(made)) == {f"w{n}" for n in range(2, 8)}


@pytest.mark.parametrize("count", [2, 3])
def test_gang_with_slack_is_not_mixed(count: int) -> None:
    """Guards against gangs that hold fast workers at the pace of a slow one."""
    workers = make_uneven([8], [0, 1])
    made = plan(workers, make_waiting(Step(count, WHOLE, 10.0, is_gang=True), 1))
    is_slow = {place in ("w0", "w1") for place in places(made)}
    assert len(places(made)) == count
    assert is_slow == {count == 2}


def test_urgent_work_displaces_on_fast_workers_rather_than_start_slow() -> None:
    """Guards against urgent work that starts on free slow workers and is late from the start."""
    workers = make_uneven([8], [0, 1])
    running = [
        make_running(workers, [(f"w{n}", WHOLE)], f"batch{n}", elapsed_s=0.5, percent=1)
        for n in range(2, 8)
    ]
    made = plan(workers, make_waiting(Step(2, WHOLE, 5.0, is_gang=True), 0), running)
    assert not made.assignments
    assert len(made.displaced) == 2


def test_urgent_work_waits_only_until_its_latest_start() -> None:
    """Guards against urgent work that waits for fast workers for ever."""

    def placed_at(now_s: float) -> list[str]:
        workers = make_uneven([8], [0, 1])
        running = [
            make_running(workers, [(f"w{n}", WHOLE)], f"other{n}", priority=0) for n in range(2, 8)
        ]
        waiting = make_waiting(Step(2, WHOLE, 5.0, is_gang=True), 0)
        return places(plan(workers, waiting, running, now_s))

    assert placed_at(0.0) == []
    # The objective is 1.5 times 5 s and 0.25 s.
    assert sorted(placed_at(2.8)) == ["w0", "w1"]


def test_no_waiting_for_fast_workers_that_do_not_exist() -> None:
    """Guards against urgent work that waits for a fit that no capacity can give."""
    workers = make_uneven([8], [0, 1, 2, 3])
    waiting = make_waiting(Step(5, WHOLE, 5.0, is_gang=True), 0)
    assert len(places(plan(workers, waiting))) == 5


def test_worker_that_stands_still_gets_nothing_while_others_fit() -> None:
    """Load: one worker stands still, another has become several times slower.

    Guards against new work on a worker without progress, also when all others are full.
    """
    workers = make_uneven([8], [1])
    workers[0].speed = 0.1
    full = [make_running(workers, [(f"w{n}", WHOLE)], f"r{n}") for n in range(2, 8)]
    made = plan(workers, make_waiting(Step(10, ONE, 10.0), 2), full)
    assert set(places(made)) == {"w1"}
    assert len(places(made)) == 8


def test_unknown_workers_get_single_tasks_as_probes_and_no_urgent_work() -> None:
    """Load: reborn workers among known ones, some of them slow.

    Guards against workers that stay unknown, and against urgent work on them. A worker that is not
    idle gets one probe until its speed can be known.
    """
    workers = make_uneven([8], [0, 1])
    for worker in workers[6:]:
        worker.speed, worker.speed_uncertainty = 1.0, 0.4
        make_running(workers, [(worker.worker_id, ONE)], worker.worker_id)
    memory = RuleMemory()
    made = plan(workers, make_waiting(Step(4, ONE, 5.0), 2), memory=memory)
    assert places(made)[:2] == ["w6", "w7"]
    assert set(places(made)[2:]) <= {"w0", "w1"}
    urgent = plan(workers, make_waiting(Step(3, HALF, 5.0, is_gang=True), 0), memory=memory)
    assert set(places(urgent)) <= {"w2", "w3", "w4", "w5"}


@pytest.mark.parametrize("priority", [0, 1, 2])
@pytest.mark.parametrize("is_gang", [False, True])
@pytest.mark.parametrize("spread", [0.0, 0.08])
def test_equal_workers_are_filled_as_before(priority: int, is_gang: bool, spread: float) -> None:
    """Load: equal workers whose estimated speeds differ by chance.

    Guards against a rule that acts on noise.
    """
    made = []
    for rules in (SchedulingRules(), BY_SPEED):
        workers = make_workers([4, 4])
        for number, worker in enumerate(workers):
            worker.speed = 1.0 + spread * (number % 3 - 1)
            worker.speed_uncertainty = 0.1
        waiting = make_waiting(Step(5, ONE, 5.0, is_gang=is_gang), priority)
        made.append(places(plan(workers, waiting, rules=rules)))
    assert made[0] == made[1]


def test_spread_has_hysteresis() -> None:
    """Guards against a pool that changes its rule with each round."""
    memory = RuleMemory()
    decisions = []
    # Ratios of 1.25, 1.43, 1.25, 1.18 and 1.25: between 1.2 and 1.3 the last decision holds.
    for speed in (0.8, 0.7, 0.8, 0.85, 0.8):
        workers = make_workers([8])
        for worker in workers[4:]:
            worker.speed = speed
        plan(workers, [], memory=memory)
        decisions.append(memory.get(SpeedSpread).pools == {"pool"})
    assert decisions == [False, True, True, False, False]


def make_observing_session(rules: SchedulingRules) -> GraphSession:
    graph = make_graph("g", Step(2, ONE, 10.0), 2)
    for index in range(2):
        graph.record_start(TaskId("g", 0, 0, index), 1, f"w{index}")
    state = ControlState()
    state.graphs.graphs["g"] = graph
    for index in range(2):
        state.graphs.record_agent(f"w{index}", f"a{index}")
    leader: Any = SimpleNamespace(
        state=state, started_s=0.0, term=1, now_s=lambda: asyncio.get_running_loop().time()
    )
    return GraphSession(leader, LEASES, StartLimits(), rules)


def report_progress(session: GraphSession, seconds: int) -> None:
    """Reports a run of 10% a second on w0 and one of 3% a second on w1."""
    for index, pace in enumerate((10, 3)):
        run = TaskRun(TaskId("g", 0, 0, index), 1)
        made = call(f"w{index}", seconds + 1, runs=(RunReport(run, pace * seconds),))
        worker = session.handle_sync(_from_agent(made, f"a{index}"))
        assert worker is not None
        worker.last_reply_s = session.now_s()


def _from_agent(made: SyncWorker, agent_id: str) -> SyncWorker:
    return replace(made, agent_id=agent_id)


def test_leader_learns_from_reports_and_uses_the_recent_pace() -> None:
    """Guards against an observer that no report reaches, and a worker that stays in its books."""

    async def main() -> None:
        session = make_observing_session(BY_SPEED)
        observer = session.speed_observer
        assert observer is not None
        for second in range(6):
            report_progress(session, second)
            observer.update(session.now_s())
            await asyncio.sleep(1.0)
        workers = {worker.worker_id: worker for worker in build_workers(session)}
        assert workers["w0"].speed > 1.1 > 0.9 > workers["w1"].speed
        assert 0 < workers["w1"].speed_uncertainty < 0.4
        slow = next(work for work in build_running(session) if work.occupied[0][0] == "w1")
        assert slow.remaining_s() == pytest.approx(85 / 3, rel=0.1)
        assert [w.worker_id for w in describe_speeds(session).workers] == ["w1", "w0"]
        metrics = MetricsRegistry()
        register_speed_gauge(metrics, lambda: session)
        assert 'cicadatray_workers_by_speed{speed="slow"} 1' in metrics.render_text()
        end = RunEnd(TaskRun(TaskId("g", 0, 0, 0), 1), RunOutcome.DONE, 1)
        session.handle_sync(_from_agent(call("w0", 9, ends=(end,)), "a0"))
        assert "queue" in observer.speeds.corrections.queues
        session.remove_worker("w1")
        assert "w1" not in observer.speeds.workers

    run_virtual(main())


def test_default_rules_do_not_observe() -> None:
    """Guards against a cost, or a changed remaining time, where nobody asked for speeds."""

    async def main() -> None:
        session = make_observing_session(SchedulingRules())
        assert session.speed_observer is None
        for second in range(4):
            report_progress(session, second)
            await asyncio.sleep(1.0)
        assert {worker.speed for worker in build_workers(session)} == {1.0}
        assert all(work.pace_remaining_s is None for work in build_running(session))
        assert describe_speeds(session).workers == ()

    run_virtual(main())


def test_decisions_do_not_read_the_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against rules that cannot be replayed."""
    monkeypatch.setattr(time, "time", lambda: pytest.fail("read the wall clock"))
    monkeypatch.setattr(time, "monotonic", lambda: pytest.fail("read the clock"))
    workers = make_uneven([4, 4], [0, 4])
    assert places(plan(workers, make_waiting(Step(3, ONE, 5.0, is_gang=True), 0)))
