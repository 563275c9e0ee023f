"""Diagnosis of graphs that wait although none of their work is ready for placement."""

from collections.abc import Callable, Generator

from cicadatray.scheduling.taskgraphs.graph_progress import GraphProgress
from cicadatray.scheduling.taskgraphs.task_id import TaskId, TaskRun
from cicadatray.scheduling.taskgraphs.wait_reason import WaitReason

TASKS_BETWEEN_PAUSES = 256


def explain_unready(
    progress: GraphProgress, now_s: float, is_wanted: Callable[[TaskRun], bool]
) -> WaitReason | None:
    """Returns why the graph waits, or None if it runs or has ended.

    `is_wanted` returns whether a run should continue.
    """
    steps = explain_unready_in_steps(progress, now_s, is_wanted)
    while True:
        try:
            next(steps)
        except StopIteration as end:
            reason: WaitReason | None = end.value
            return reason


def explain_unready_in_steps(
    progress: GraphProgress, now_s: float, is_wanted: Callable[[TaskRun], bool]
) -> Generator[None, None, WaitReason | None]:
    """Returns the same as `explain_unready`, and yields wherever the caller may pause."""
    if not progress.is_active:
        return None
    graph = progress.graph
    if progress.has_runs:
        for place, (key, task) in enumerate(list(progress.tasks.items())):
            if place % TASKS_BETWEEN_PAUSES == TASKS_BETWEEN_PAUSES - 1:
                yield
            run = TaskRun(TaskId.from_key(graph.graph_id, key), task.run)
            if task.worker_id and not is_wanted(run):
                return WaitReason.FORMER_RUN
        return None
    if graph.repetition is None:
        return None
    due = (k for k in range(graph.occurrences) if graph.due_s(k) <= now_s)
    is_up_to_date = all(progress.is_occurrence_done(k) for k in due)
    return WaitReason.NOT_DUE if is_up_to_date else None
