"""The assignments of a plan that can still be carried out."""

from collections.abc import Generator, Sequence

from cicadatray.internal.control.graphs.graph_session import GraphSession
from cicadatray.internal.control.graphs.placement_input import may_take_work
from cicadatray.scheduling.taskgraphs.assignment import Assignment
from cicadatray.scheduling.taskgraphs.task_id import TaskRun

# The caller may pause after so many assignments.
ASSIGNMENTS_BETWEEN_PAUSES = 256

# A graph, an occurrence, a step and the number of the run.
GangKey = tuple[str, int, int, int]


def valid_assignments(
    session: GraphSession, assignments: Sequence[Assignment]
) -> Generator[None, None, Sequence[Assignment]]:
    """Returns the assignments whose graphs are active and whose workers take work.

    Both may have changed during a round that gave way to other work. A gang starts as a whole or
    not at all. Yields wherever the caller may pause.
    """
    invalid: set[TaskRun] = set()
    gangs: set[GangKey] = set()
    for place, assignment in enumerate(assignments):
        if place % ASSIGNMENTS_BETWEEN_PAUSES == ASSIGNMENTS_BETWEEN_PAUSES - 1:
            yield
        if not _is_valid(session, assignment):
            invalid.add(assignment.run)
            if _is_in_gang(session, assignment.run):
                gangs.add(_gang_key(assignment.run))
    if not invalid:
        return assignments
    return [
        each for each in assignments if each.run not in invalid and _gang_key(each.run) not in gangs
    ]


def _is_valid(session: GraphSession, assignment: Assignment) -> bool:
    progress = session.graphs.get(assignment.run.task.graph_id)
    worker = session.workers.get(assignment.worker_id)
    if progress is None or worker is None or not progress.is_active:
        return False
    return may_take_work(session, worker)


def _is_in_gang(session: GraphSession, run: TaskRun) -> bool:
    progress = session.graphs.get(run.task.graph_id)
    return progress is not None and progress.graph.steps[run.task.step].is_gang


def _gang_key(run: TaskRun) -> GangKey:
    return (run.task.graph_id, *run.task.step_key, run.run)
