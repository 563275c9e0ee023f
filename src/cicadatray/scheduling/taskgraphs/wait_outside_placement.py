"""Why a graph waits although none of its work is ready."""

from collections.abc import Callable

from cicadatray.scheduling.taskgraphs.graph_progress import GraphProgress
from cicadatray.scheduling.taskgraphs.task_id import TaskId, TaskRun
from cicadatray.scheduling.taskgraphs.wait_reason import WaitReason


def explain_unready(
    progress: GraphProgress, now_s: float, is_wanted: Callable[[TaskRun], bool]
) -> WaitReason | None:
    """Returns the reason, or None for a graph that runs or has ended."""
    if not progress.is_active:
        return None
    graph = progress.graph
    is_held = False
    for key, task in progress.tasks.items():
        if task.worker_id:
            is_held = True
            if not is_wanted(TaskRun(TaskId.from_key(graph.graph_id, key), task.run)):
                return WaitReason.FORMER_RUN
    if is_held or graph.repetition is None:
        return None
    due = (k for k in range(graph.occurrences) if graph.due_s(k) <= now_s)
    is_current = all(progress.is_occurrence_done(k) for k in due)
    return WaitReason.NOT_DUE if is_current else None
