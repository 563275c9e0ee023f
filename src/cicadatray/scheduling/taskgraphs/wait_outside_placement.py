"""Diagnosis of graphs that wait although none of their work is ready for placement."""

from collections.abc import Callable

from cicadatray.scheduling.taskgraphs.graph_progress import GraphProgress
from cicadatray.scheduling.taskgraphs.task_id import TaskId, TaskRun
from cicadatray.scheduling.taskgraphs.wait_reason import WaitReason


def explain_unready(
    progress: GraphProgress, now_s: float, is_wanted: Callable[[TaskRun], bool]
) -> WaitReason | None:
    """Returns why the graph waits, or None if it runs or has ended.

    `is_wanted` returns whether a run should continue.
    """
    if not progress.is_active:
        return None
    graph = progress.graph
    may_run = False
    for key, task in progress.tasks.items():
        if task.worker_id:
            may_run = True
            if not is_wanted(TaskRun(TaskId.from_key(graph.graph_id, key), task.run)):
                return WaitReason.FORMER_RUN
    if may_run or graph.repetition is None:
        return None
    due = (k for k in range(graph.occurrences) if graph.due_s(k) <= now_s)
    is_up_to_date = all(progress.is_occurrence_done(k) for k in due)
    return WaitReason.NOT_DUE if is_up_to_date else None
