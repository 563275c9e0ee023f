"""Plans of the indexed searches compared with those of straightforward ones."""

from collections.abc import Sequence
from unittest.mock import patch

from hypothesis import given, settings
from hypothesis import strategies as st

from cicadatray.scheduling.taskgraphs import displacement_search, fit_search, hold_watch
from cicadatray.scheduling.taskgraphs.placement_plan import PlacementPlan
from cicadatray.scheduling.taskgraphs.placement_round import PlacementRound
from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.rules import cheapest, packed
from cicadatray.scheduling.taskgraphs.step import Step
from cover.taskgraphs import reference_search
from cover.taskgraphs.placement_helpers import (
    HALF,
    ONE,
    URGENT,
    make_running,
    make_waiting,
    make_workers,
)

WORKER_LIMIT = 12
DEMANDS = st.sampled_from([ONE, HALF, URGENT, Resources(1_000, 1_000, 2), Resources(4_000, 500)])
# Worker numbers of a gang's members, their demand, priority, elapsed time and percentage, and
# whether the work saves checkpoints.
Load = tuple[list[int], Resources, int, float, int, bool]
LOADS = st.lists(
    st.tuples(
        st.lists(st.integers(0, WORKER_LIMIT - 1), min_size=1, max_size=4),
        DEMANDS,
        st.integers(0, 2),
        st.floats(0.0, 20.0),
        st.integers(-1, 99),
        st.booleans(),
    ),
    max_size=40,
)
# Count, demand, whether it is a gang, whether it stays in a rack, tasks for each worker, priority
# and whether an account's guarantee covers it.
Job = tuple[int, Resources, bool, bool, int, int, bool]
JOBS = st.lists(
    st.tuples(
        st.integers(1, 10),
        DEMANDS,
        st.booleans(),
        st.booleans(),
        st.integers(0, 2),
        st.integers(0, 2),
        st.booleans(),
    ),
    min_size=1,
    max_size=8,
)


def make_plan(racks: Sequence[int], loads: list[Load], jobs: list[Job]) -> PlacementPlan:
    """Returns the plan of one round; loads that do not fit are left out."""
    workers = make_workers(racks)
    running = []
    for number, (places, demand, priority, elapsed_s, percent, is_saving) in enumerate(loads):
        members = [workers[place % len(workers)] for place in places]
        if all(demand.fit_count(m.free) >= members.count(m) for m in members):
            work = make_running(
                workers,
                [(member.worker_id, demand) for member in members],
                f"runs{number}",
                priority,
                elapsed_s,
                percent,
                is_saving,
            )
            work.set_deadlines(elapsed_s - 5.0, elapsed_s + 5.0)
            running.append(work)
    waiting = []
    for number, (count, demand, is_gang, is_local, limit, priority, is_guaranteed) in enumerate(
        jobs
    ):
        step = Step(
            count, demand, 3.0, is_gang=is_gang, is_rack_local=is_local, max_per_worker=limit
        )
        waiting += make_waiting(step, priority, graph_id=f"job{number}")
        for work in waiting:
            work.is_guaranteed = is_guaranteed and work.priority == 0
    return PlacementRound(workers, running, 0.0).run(waiting)


@settings(max_examples=400)
@given(racks=st.lists(st.integers(1, 4), min_size=1, max_size=3), loads=LOADS, jobs=JOBS)
def test_indexed_searches_give_the_same_plan(
    racks: list[int], loads: list[Load], jobs: list[Job]
) -> None:
    """Guards against an index that differs from the capacity that it stands for.

    A stale count would start work too late, or displace other work than the cheapest.
    """
    plan = make_plan(racks, loads, jobs)
    with (
        patch.object(fit_search, "fit_tasks", reference_search.fit_tasks),
        patch.object(hold_watch, "fit_tasks", reference_search.fit_tasks),
        patch.object(packed, "fit_tasks", reference_search.fit_tasks),
        patch.object(displacement_search, "fit_tasks", reference_search.fit_tasks),
        patch.object(fit_search, "find_earliest_fit", reference_search.find_earliest_fit),
        patch.object(cheapest, "DisplacementSearch", reference_search.ReferenceDisplacementSearch),
    ):
        expected = make_plan(racks, loads, jobs)
    assert [(a.run, a.worker_id) for a in plan.assignments] == [
        (a.run, a.worker_id) for a in expected.assignments
    ]
    assert plan.displaced == expected.displaced
