"""The limit of the time for which preferences keep work from starting while there is room."""

from collections.abc import Callable

import pytest

from cicadatray.scheduling.taskgraphs.placement_round import PlacementRound
from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.rules.rule_memory import RuleMemory
from cicadatray.scheduling.taskgraphs.step import Step
from cicadatray.scheduling.taskgraphs.task_id import TaskId
from cicadatray.scheduling.taskgraphs.waiting_work import WaitingWork
from cover.taskgraphs.placement_helpers import (
    CAPACITY,
    ONE,
    WHOLE,
    make_running,
    make_waiting,
    make_workers,
)
from cover.taskgraphs.test_trials import make_suspect

ROUND_S = 0.25
# The platform's operators allow a job to rest for this long while it could run.
ALLOWED_S = 3.0
# Suspect work may wait this long for a worker that becomes idle.
ALLOWED_SUSPECT_S = 9.0
RACKS = (3, 3, 3, 3)
SMALL = Resources(1_000, 1_000, 1)
GANG = Step(3, WHOLE, 20.0, is_gang=True)


def single() -> list[WaitingWork]:
    return make_waiting(Step(1, ONE, 20.0), 2)


def near_data() -> list[WaitingWork]:
    return make_waiting(Step(1, ONE, 20.0, data_rack="r0"), 2)


def in_one_rack() -> list[WaitingWork]:
    return make_waiting(Step(3, WHOLE, 20.0, is_gang=True, is_rack_local=True), 1)


def suspect() -> list[WaitingWork]:
    return make_suspect()


def suspect_gang() -> list[WaitingWork]:
    return make_suspect(Step(3, Resources(26_000, 68_000, 1), 20.0, is_gang=True))


def lasting_suspect() -> list[WaitingWork]:
    return make_suspect(Step(1, ONE, 1.0, is_long_running=True))


FULL_RACK = [(f"w{number}", CAPACITY) for number in range(3)]
ONE_IN_EACH_RACK = [(f"w{number}", WHOLE) for number in (0, 3, 6, 9)]
ONE_ON_EACH_WORKER = [(f"w{number}", SMALL) for number in range(12)]


def rounds_until_placed(
    works: list[WaitingWork],
    places: list[tuple[str, Resources]],
    others: list[WaitingWork],
    is_beside_lasting: bool = False,
    longest_s: float = ALLOWED_S,
) -> float | None:
    """Returns when the first of the work is placed, None if it is not within `longest_s`."""
    memory = RuleMemory()
    for number in range(int(longest_s / ROUND_S)):
        now_s = number * ROUND_S
        workers = make_workers(RACKS)
        running = [
            make_running(
                workers,
                [place],
                f"on {place[0]}",
                elapsed_s=1.0,
                percent=5,
                is_long_running=is_beside_lasting,
            )
            for place in places
        ]
        plan = PlacementRound(workers, running, now_s, memory=memory).run([*others, *works])
        placed = {assignment.run.task for assignment in plan.assignments}
        if works[0].task(works[0].indexes[0]) in placed:
            return now_s
    return None


@pytest.mark.parametrize(
    ("make_works", "places", "gangs"),
    [
        (near_data, FULL_RACK, 0),
        (in_one_rack, ONE_IN_EACH_RACK, 0),
        (single, ONE_ON_EACH_WORKER, 2),
    ],
    ids=["waits for its data rack", "waits for one rack", "room is kept for gangs"],
)
def test_job_does_not_rest_while_its_pool_has_room(
    make_works: Callable[[], list[WaitingWork]], places: list[tuple[str, Resources]], gangs: int
) -> None:
    """Guards against an accepted job that could run and does not (rule LOST)."""
    wide = Step(6, WHOLE, 20.0, is_gang=True)
    others = [work for n in range(gangs) for work in make_waiting(wide, 1, graph_id=f"gang {n}")]
    assert rounds_until_placed(make_works(), places, others) is not None


@pytest.mark.parametrize("make_works", [suspect, suspect_gang, lasting_suspect])
@pytest.mark.parametrize(
    ("is_beside_lasting", "longest_s"),
    [(True, ALLOWED_S), (False, ALLOWED_SUSPECT_S)],
    ids=["beside work that lasts", "beside work that ends"],
)
def test_suspect_work_does_not_wait_for_good_for_an_idle_worker(
    make_works: Callable[[], list[WaitingWork]], is_beside_lasting: bool, longest_s: float
) -> None:
    """Guards against a task that never starts again because something runs on each worker."""
    works = make_works()
    assert rounds_until_placed(works, ONE_ON_EACH_WORKER, [], is_beside_lasting, longest_s)


def test_preference_holds_for_a_moment() -> None:
    """Guards against work that runs far from its data because its rack was full for a moment."""
    placed_s = rounds_until_placed(near_data(), FULL_RACK, [])
    assert placed_s is not None and placed_s >= 1.0


def test_only_one_task_of_a_job_leaves_the_room_that_is_kept() -> None:
    """Guards against a gang that never gets its room because wide jobs refill it."""
    memory = RuleMemory()
    gangs = [work for n in range(2) for work in make_waiting(GANG, 1, graph_id=f"gang {n}")]
    wide = make_waiting(Step(40, ONE, 20.0), 2)
    placed: set[TaskId] = set()
    for number in range(int(ALLOWED_S / ROUND_S)):
        workers = make_workers((3, 3))
        places = [(f"w{n}", SMALL) for n in range(6)]
        running = [make_running(workers, [p], p[0], elapsed_s=1.0, percent=5) for p in places]
        now_s = number * ROUND_S
        plan = PlacementRound(workers, running, now_s, memory=memory).run([*gangs, *wide])
        placed = {a.run.task for a in plan.assignments}
        if placed:
            break
    assert len(placed) == 1


def test_lasting_tasks_of_one_step_are_placed_together() -> None:
    """Guards against a wide job that lasts and whose tasks each wait for the limit in turn."""
    memory = RuleMemory()
    lasting = make_waiting(Step(4, ONE, 1.0, data_rack="r0", is_long_running=True), 2)
    lasting[0].ready_s = 0.0
    for number in range(int(ALLOWED_S / ROUND_S)):
        workers = make_workers(RACKS)
        running = [make_running(workers, FULL_RACK, "fills", elapsed_s=1.0, percent=5)]
        now_s = number * ROUND_S
        plan = PlacementRound(workers, running, now_s, memory=memory).run(lasting)
        if plan.assignments:
            break
    assert len(plan.assignments) == 4


def test_guaranteed_room_is_not_given_away() -> None:
    """Guards against urgent work within a guarantee that loses the room it was promised."""
    memory = RuleMemory()
    for number in range(int(ALLOWED_S / ROUND_S)):
        workers = make_workers((1,))
        workers[0].occupy(SMALL, is_stopping=True)
        urgent = make_waiting(Step(1, Resources(64_000, 128_000, 8), 5.0), 0, graph_id="urgent")
        urgent[0].is_guaranteed = True
        now_s = number * ROUND_S
        works = [*urgent, *single()]
        plan = PlacementRound(workers, [], now_s, memory=memory).run(works)
        assert not plan.assignments


@pytest.mark.parametrize(("is_lasting", "is_placed"), [(True, True), (False, False)])
def test_lasting_work_does_not_wait_until_workers_are_trusted_again(
    is_lasting: bool, is_placed: bool
) -> None:
    """Guards against work that lasts and rests while only workers on which work failed have room.

    Other work waits, because each failure uses up one of its attempts.
    """
    memory = RuleMemory()
    placed: set[str] = set()
    for number in range(int(ALLOWED_S / ROUND_S)):
        workers = make_workers((1, 3))
        workers[0].occupy(CAPACITY)
        for worker in workers[1:]:
            worker.is_suspect = True
        works = make_waiting(Step(1, ONE, 20.0, is_long_running=is_lasting), 2)
        plan = PlacementRound(workers, [], number * ROUND_S, memory=memory).run(works)
        placed |= {assignment.worker_id for assignment in plan.assignments}
    assert bool(placed) is is_placed
