"""Tests of rounds over backlogs that are larger than one round."""

from collections.abc import Callable, Sequence

import pytest

from cicadatray.scheduling.taskgraphs import fit_search
from cicadatray.scheduling.taskgraphs.hold_watch import HOLD_LIMIT_S
from cicadatray.scheduling.taskgraphs.placement_plan import PlacementPlan
from cicadatray.scheduling.taskgraphs.placement_round import (
    HEAD_ATTEMPTS,
    MAX_ATTEMPTS,
    MAX_STARTS,
    PlacementRound,
)
from cicadatray.scheduling.taskgraphs.ready_work import find_ready_steps, find_ready_work
from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.rules.ranked_merge import PART_SIZE, sort_in_parts
from cicadatray.scheduling.taskgraphs.rules.rule_memory import RuleMemory
from cicadatray.scheduling.taskgraphs.step import Step
from cicadatray.scheduling.taskgraphs.waiting_work import WaitingWork
from cicadatray.scheduling.taskgraphs.worker_capacity import WorkerCapacity
from cover.taskgraphs.placement_helpers import (
    CAPACITY,
    ONE,
    WHOLE,
    make_graph,
    make_running,
    make_waiting,
    make_workers,
)

RACKS = (2, 2)
SMALL = Resources(10, 1, 0)
NOW_S = 1.0


def full_workers() -> list[WorkerCapacity]:
    """Returns workers without free capacity."""
    workers = make_workers(RACKS)
    for worker in workers:
        worker.occupy(CAPACITY)
    return workers


def ready_steps(graph_id: str, step: Step, priority: int) -> list[WaitingWork]:
    return list(find_ready_steps(make_graph(graph_id, step, priority), NOW_S))


@pytest.fixture
def fits(monkeypatch: pytest.MonkeyPatch) -> Callable[[], int]:
    """Returns a function that returns how often work was fitted on a group of workers."""
    count = 0
    fit_tasks = fit_search.fit_tasks

    def counted(*arguments, **options):  # type: ignore[no-untyped-def]
        nonlocal count
        count += 1
        return fit_tasks(*arguments, **options)

    monkeypatch.setattr(fit_search, "fit_tasks", counted)
    return lambda: count


@pytest.mark.parametrize("priority", [0, 1])
@pytest.mark.parametrize("max_per_worker", [0, 5])
def test_step_that_does_not_fit_is_tried_once(
    fits: Callable[[], int], priority: int, max_per_worker: int
) -> None:
    """Guards against a step of many tasks that all rounds search the workers for, task by task.

    600 urgent tasks with a limit per worker held up the leader in each round.
    """
    step = Step(600, ONE, 5.0, max_per_worker=max_per_worker)
    placement = PlacementRound(full_workers(), [], NOW_S)
    assert not placement.run(ready_steps("g", step, priority)).assignments
    assert placement.attempts == 1
    assert fits() < 10


@pytest.mark.parametrize("is_late", [True, False])
def test_jobs_that_need_the_same_are_searched_for_once(
    fits: Callable[[], int], is_late: bool
) -> None:
    """Guards against thousands of small jobs that each search all workers in vain.

    Urgent ones that are late displace nothing.
    """
    step = Step(1, ONE, 5.0)
    priority, accepted_s = (0, -100.0) if is_late else (1, 0.0)
    waiting = [
        work
        for number in range(500)
        for work in make_waiting(step, priority, accepted_s, f"job{number}")
    ]
    placement = PlacementRound(full_workers(), [], NOW_S)
    plan = placement.run(waiting)
    assert plan.is_complete and not plan.assignments
    assert placement.attempts == 1
    assert fits() < 10


def test_displacement_makes_room_for_work_that_was_tried_before() -> None:
    """Guards against work that stays untried although a displacement has freed room for it."""
    workers = make_workers((2,))
    victims = [make_running(workers, [(w.worker_id, WHOLE)], f"runs{w.worker_id}") for w in workers]
    worthless = make_waiting(Step(1, ONE, 5.0), 0, -100.0, "late")
    worthless[0].is_guaranteed = True
    waiting = [*make_waiting(Step(1, WHOLE, 5.0), 0, graph_id="urgent"), *worthless]
    plan = PlacementRound(workers, victims, NOW_S).run(waiting)
    assert {victim.graph_id for d in plan.displacements for victim in d.victims} == {
        victim.graph_id for victim in victims
    }


def rounds_until(
    is_placed: Callable[[PlacementPlan], bool],
    waiting: Sequence[WaitingWork],
    make: Callable[[], list[WorkerCapacity]],
    most: int,
) -> int:
    """Returns the number of rounds until a plan satisfies the condition."""
    memory = RuleMemory()
    for number in range(1, most + 1):
        plan = PlacementRound(make(), [], NOW_S, memory=memory).run(waiting)
        if is_placed(plan):
            return number
    raise AssertionError(f"not placed in {most} rounds")


def test_round_ends_and_the_next_one_goes_on() -> None:
    """Guards against work that starves behind a backlog that one round cannot try.

    Each of the gangs needs a search of its own and never fits; the job behind all of them does.
    """
    gangs = [
        work
        for number in range(3 * MAX_ATTEMPTS)
        for work in make_waiting(
            Step(8, Resources(33_000 + number, 64, 1), 5.0, is_gang=True), 1, 0.0, f"gang{number}"
        )
    ]
    last = make_waiting(Step(1, SMALL, 5.0), 2, 0.0, "last")

    placement = PlacementRound(make_workers(RACKS), [], NOW_S)
    plan = placement.run([*gangs, *last])
    assert not plan.is_complete
    assert placement.attempts == MAX_ATTEMPTS

    most = 2 + len(gangs) // (MAX_ATTEMPTS - HEAD_ATTEMPTS)
    rounds_until(
        lambda plan: any(a.run.task.graph_id == "last" for a in plan.assignments),
        [*gangs, *last],
        lambda: make_workers(RACKS),
        most,
    )


def test_wide_step_is_started_in_parts_before_later_work() -> None:
    """Guards against later work that takes the room of a step of which a round starts a part."""
    first = ready_steps("first", Step(3 * MAX_STARTS, SMALL, 50.0), 1)
    later = ready_steps("later", Step(10, SMALL, 5.0), 2)
    plan = PlacementRound(make_workers(RACKS), [], NOW_S).run([*later, *first])
    assert not plan.is_complete
    assert {a.run.task.graph_id for a in plan.assignments} == {"first"}
    assert [a.run.task.index for a in plan.assignments] == list(range(MAX_STARTS))


def test_work_is_held_through_rounds_that_end_early() -> None:
    """Guards against work that rests for good beside room because no round comes to it in time."""
    memory = RuleMemory()
    held = make_waiting(Step(1, SMALL, 50.0, data_rack="r0"), 2, -1.0, "held")
    now_s = 0.0
    while now_s <= HOLD_LIMIT_S + 0.5:
        workers = make_workers(RACKS)
        for worker in workers[:2]:
            worker.occupy(CAPACITY)
        placement = PlacementRound(workers, [], now_s, memory=memory)
        # Every other round ends before it has come to the work.
        steps = placement.steps(held)
        if int(now_s * 10) % 2:
            steps.close() if next(steps, None) is None else None
        else:
            for _ in steps:
                pass
        if placement.plan.assignments:
            break
        now_s += 0.1
    assert placement.plan.assignments
    assert now_s >= HOLD_LIMIT_S


@pytest.mark.parametrize("priority", [0, 1])
def test_round_may_pause_after_each_search(fits: Callable[[], int], priority: int) -> None:
    """Guards against a round that holds the event loop for longer the more work waits."""
    waiting = [
        work
        for number in range(300)
        for work in make_waiting(
            Step(1, Resources(1000 + number, 1, 1), 5.0), priority, 0.0, str(number)
        )
    ]
    before = 0
    for _ in PlacementRound(full_workers(), [], NOW_S).steps(waiting):
        assert fits() - before < 20
        before = fits()


def test_sorting_in_parts_keeps_the_order() -> None:
    """Guards against an order of work that depends on how the sort is divided."""
    works = [
        work
        for number in range(3 * PART_SIZE + 7)
        for work in make_waiting(Step(1, ONE, float(number * 7 % 13)), number % 3, 0.0, str(number))
    ]
    entries = list(sort_in_parts(works, lambda work: work.rank(NOW_S)))
    assert entries.count(None) == 4
    merged = [entry[1] for entry in entries if entry is not None]
    assert merged == sorted(works, key=lambda work: work.rank(NOW_S))


def test_followers_are_the_other_tasks_of_the_step() -> None:
    """Guards against tasks that are left out or started twice when a step is tried as a whole."""
    progress = make_graph("g", Step(5, ONE, 5.0), 1)
    started = next(find_ready_work(progress, NOW_S)).task(3)
    assert progress.record_start(started, 1, "w0")
    (work,) = find_ready_steps(progress, NOW_S)
    work.is_guaranteed = True
    tasks = list(work.each())
    assert [(each.indexes, each.run) for each in tasks] == [((n,), 1) for n in (0, 1, 2, 4)]
    assert all(each.is_guaranteed and not each.followers for each in tasks)
    assert work.task_count == 4
