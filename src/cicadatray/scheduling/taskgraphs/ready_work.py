"""Finds the tasks of a graph that may be started."""

from collections.abc import Iterator

from cicadatray.scheduling.taskgraphs.graph_progress import GraphProgress
from cicadatray.scheduling.taskgraphs.waiting_work import WaitingWork

# At most about this many tasks of one graph wait for placement at a time: all occurrences of a
# repeated graph may be due at once.
MAX_READY_TASKS = 20_000


def find_ready_work(graph: GraphProgress, now_s: float) -> Iterator[WaitingWork]:
    """Yields every gang and single task that may be started now.

    It is due, the steps that it depends on are done, and certainly no run of it exists. Later
    occurrences wait while earlier ones have `MAX_READY_TASKS` ready tasks.
    """
    for work in find_ready_steps(graph, now_s):
        yield from work.each()


def find_ready_steps(graph: GraphProgress, now_s: float) -> Iterator[WaitingWork]:
    """Yields the same work as `find_ready_work`, but one work for the equal tasks of each step.

    Suspect tasks are yielded one by one, because each must start alone.
    """
    if not graph.is_active:
        return
    ready_tasks = 0
    for occurrence in range(graph.graph.occurrences):
        due_s = graph.graph.due_s(occurrence)
        if due_s > now_s or ready_tasks >= MAX_READY_TASKS:
            return
        ready_s = max(graph.accepted_s, due_s)
        for number, step in enumerate(graph.graph.steps):
            if graph.is_step_done(occurrence, number):
                continue
            if not all(graph.is_step_done(occurrence, earlier) for earlier in step.depends_on):
                continue
            ready = _ready_gang if step.is_gang else _ready_tasks
            for work in ready(graph, occurrence, number, ready_s):
                ready_tasks += work.task_count
                yield work


def _ready_gang(
    graph: GraphProgress, occurrence: int, number: int, ready_s: float
) -> Iterator[WaitingWork]:
    """Yields the gang, unless a member of an earlier run may still exist."""
    indexes = tuple(range(graph.graph.steps[number].count))
    members = [graph.task(occurrence, number, index) for index in indexes]
    started = [member for member in members if member is not None]
    if any(member.worker_id for member in started):
        return
    run = 1 + max((member.run for member in started), default=0)
    yield WaitingWork(graph, occurrence, number, indexes, run, ready_s)


def _ready_tasks(
    graph: GraphProgress, occurrence: int, number: int, ready_s: float
) -> Iterator[WaitingWork]:
    equal: list[tuple[int, int]] = []
    suspects: list[tuple[int, int]] = []
    for index in range(graph.graph.steps[number].count):
        progress = graph.task(occurrence, number, index)
        if progress is None:
            equal.append((index, 1))
        elif not progress.worker_id and not progress.is_done:
            tasks = suspects if progress.crashes.is_suspect else equal
            tasks.append((index, progress.run + 1))
    if equal:
        (index, run), *followers = equal
        yield WaitingWork(graph, occurrence, number, (index,), run, ready_s, followers)
    for index, run in suspects:
        yield WaitingWork(graph, occurrence, number, (index,), run, ready_s)
