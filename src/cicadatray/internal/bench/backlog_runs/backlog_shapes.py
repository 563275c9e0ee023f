"""The shapes of backlogs that the benchmark plays."""

from collections.abc import Callable, Iterator

from cicadatray.scheduling.taskgraphs.queue_policy import QueuePolicy
from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.step import Step
from cicadatray.scheduling.taskgraphs.task_graph import Repetition, TaskGraph

# The most tasks that a job may have by docs/platform.md.
MAX_JOB_TASKS = 20_000
SMALL = Resources(1000, 64, 1)
TINY = Resources(10, 1, 0)
NEVER_FITS = Resources(1_000_000, 64, 1)
GANG_TASKS = 4

# Yields the graphs of a backlog with this many tasks.
BacklogShape = Callable[[int], Iterator[TaskGraph]]
backlog_shapes: dict[str, BacklogShape] = {}


def _register(name: str) -> Callable[[BacklogShape], BacklogShape]:
    def add(shape: BacklogShape) -> BacklogShape:
        backlog_shapes[name] = shape
        return shape

    return add


def build_graph(
    number: int, steps: tuple[Step, ...], priority: int = 1, repetition: Repetition | None = None
) -> TaskGraph:
    """Returns a graph in the queue of this priority."""
    policy = QueuePolicy(f"queue-{priority}", "pool", priority, 3, 3.0, 1.0)
    return TaskGraph(f"{number:016x}", "account", policy, "spec", steps, repetition)


def _jobs_of(tasks: int, step: Step, priority: int = 1) -> Iterator[TaskGraph]:
    """Yields jobs of one step with as many tasks as a job may have."""
    for number, start in enumerate(range(0, tasks, MAX_JOB_TASKS)):
        count = min(MAX_JOB_TASKS, tasks - start)
        yield build_graph(number, (_with_count(step, count),), priority)


def _with_count(step: Step, count: int) -> Step:
    return Step(
        count,
        step.needs,
        step.estimate_s,
        is_gang=step.is_gang,
        max_per_worker=step.max_per_worker,
        is_long_running=step.is_long_running,
        data_rack=step.data_rack,
    )


@_register("jobs of one wide step")
def wide_steps(tasks: int) -> Iterator[TaskGraph]:
    return _jobs_of(tasks, Step(1, SMALL, 10.0))


@_register("jobs of one wide step of tiny tasks")
def wide_steps_of_tiny_tasks(tasks: int) -> Iterator[TaskGraph]:
    return _jobs_of(tasks, Step(1, TINY, 10.0))


@_register("urgent jobs of one wide step")
def urgent_wide_steps(tasks: int) -> Iterator[TaskGraph]:
    return _jobs_of(tasks, Step(1, SMALL, 10.0), 0)


@_register("urgent jobs of one wide step with a limit per worker")
def urgent_limited_steps(tasks: int) -> Iterator[TaskGraph]:
    return _jobs_of(tasks, Step(1, SMALL, 10.0, max_per_worker=5), 0)


@_register("jobs of one wide step that never fits")
def steps_that_never_fit(tasks: int) -> Iterator[TaskGraph]:
    return _jobs_of(tasks, Step(1, NEVER_FITS, 10.0))


@_register("jobs of one wide long-running step")
def long_running_steps(tasks: int) -> Iterator[TaskGraph]:
    return _jobs_of(tasks, Step(1, SMALL, 10.0, is_long_running=True))


@_register("jobs of one wide gang of tiny tasks")
def wide_gangs(tasks: int) -> Iterator[TaskGraph]:
    return _jobs_of(tasks, Step(1, TINY, 10.0, is_gang=True))


@_register("jobs of 2,000 independent steps")
def independent_steps(tasks: int) -> Iterator[TaskGraph]:
    for number in range(tasks // 2000):
        yield build_graph(number, (Step(1, SMALL, 10.0),) * 2000)


@_register("jobs of 1,000 steps that depend on all earlier ones")
def dependent_steps(tasks: int) -> Iterator[TaskGraph]:
    for number in range(tasks // 1000):
        steps = tuple(Step(1, SMALL, 1.0, depends_on=tuple(range(k))[-100:]) for k in range(1000))
        yield build_graph(number, steps)


@_register("jobs of 2,000 steps of gangs")
def steps_of_gangs(tasks: int) -> Iterator[TaskGraph]:
    for number in range(max(1, tasks // 8000)):
        steps = min(2000, tasks // GANG_TASKS)
        yield build_graph(number, (Step(GANG_TASKS, SMALL, 10.0, is_gang=True),) * steps)


@_register("jobs of 10,000 occurrences")
def occurrences(tasks: int) -> Iterator[TaskGraph]:
    for number, start in enumerate(range(0, tasks, 10_000)):
        repetition = Repetition(min(10_000, tasks - start), 1.0, 0.001)
        yield build_graph(number, (Step(1, SMALL, 10.0),), 1, repetition)


@_register("single tasks")
def single_tasks(tasks: int) -> Iterator[TaskGraph]:
    for number in range(tasks):
        yield build_graph(number, (Step(1, SMALL, 10.0),))


@_register("urgent single tasks")
def urgent_single_tasks(tasks: int) -> Iterator[TaskGraph]:
    for number in range(tasks):
        yield build_graph(number, (Step(1, SMALL, 10.0),), 0)


@_register("single tasks of different sizes")
def single_tasks_of_different_sizes(tasks: int) -> Iterator[TaskGraph]:
    for number in range(tasks):
        yield build_graph(number, (Step(1, Resources(1000 + number, 64, 1), 10.0),))


@_register("gangs of different sizes")
def gangs_of_different_sizes(tasks: int) -> Iterator[TaskGraph]:
    for number in range(tasks // GANG_TASKS):
        needs = Resources(1000 + number, 64, 3)
        yield build_graph(number, (Step(GANG_TASKS, needs, 10.0, is_gang=True),))


@_register("single tasks in one data rack")
def single_tasks_in_one_rack(tasks: int) -> Iterator[TaskGraph]:
    for number in range(tasks):
        yield build_graph(number, (Step(1, SMALL, 10.0, data_rack="r0"),))
