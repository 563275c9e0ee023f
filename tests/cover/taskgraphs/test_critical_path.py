"""Tests of the critical path of a task graph."""

from hypothesis import given
from hypothesis import strategies as st

from cicadatray.scheduling.taskgraphs.queue_policy import QueuePolicy
from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.step import Step
from cicadatray.scheduling.taskgraphs.task_graph import TaskGraph

POLICY = QueuePolicy("queue", "pool", 1, 3, 3.0, 1.0)
STEPS = 200


class CountingTuple(tuple[int, ...]):
    """Counts searches for an element."""

    searches = 0

    def __contains__(self, element: object) -> bool:
        CountingTuple.searches += 1
        return super().__contains__(element)


@st.composite
def graphs(draw: st.DrawFn) -> TaskGraph:
    steps = []
    for number in range(draw(st.integers(1, 8))):
        depends_on = draw(st.sets(st.integers(0, number - 1))) if number else set()
        estimate_s = float(draw(st.integers(0, 9)))
        steps.append(Step(1, Resources(1, 1, 1), estimate_s, depends_on=tuple(sorted(depends_on))))
    return TaskGraph("g", "a", POLICY, "", tuple(steps))


def longest_path_s(graph: TaskGraph, number: int) -> float:
    """Returns the length of the longest path that begins with a step, by trying all of them."""
    later = [n for n, step in enumerate(graph.steps) if number in step.depends_on]
    longest_s = max((longest_path_s(graph, n) for n in later), default=0.0)
    return graph.steps[number].estimate_s + longest_s


@given(graphs())
def test_critical_paths_are_the_longest(graph: TaskGraph) -> None:
    """Guards against a wrong latest start of a step."""
    for number in range(len(graph.steps)):
        assert graph.critical_path_from_s(number) == longest_path_s(graph, number)


def test_critical_path_looks_at_each_dependency_once() -> None:
    """Guards against a job of thousands of steps that blocks the leader in each round."""
    steps = tuple(
        Step(1, Resources(1, 1, 1), 1.0, depends_on=CountingTuple((n - 1,) if n else ()))
        for n in range(STEPS)
    )
    CountingTuple.searches = 0
    assert TaskGraph("g", "a", POLICY, "", steps).critical_path_s() == STEPS
    assert CountingTuple.searches <= STEPS
