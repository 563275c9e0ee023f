"""Looks up the durable record of a task."""

from cicadatray.scheduling.taskgraphs.graph_progress import GraphProgress, TaskProgress
from cicadatray.scheduling.taskgraphs.task_id import TaskRun


def find_task_progress(graphs: dict[str, GraphProgress], run: TaskRun) -> TaskProgress | None:
    """Returns the durable record of a run's task, or None if it does not exist."""
    graph = graphs.get(run.task.graph_id)
    return graph.tasks.get(run.task.key) if graph else None
