"""The result of one round of placement."""

from cicadatray.scheduling.taskgraphs.task_id import TaskRun


class Assignment:
    """A run to start on a worker."""

    __slots__ = ("run", "worker_id")

    def __init__(self, run: TaskRun, worker_id: str) -> None:
        self.run = run
        self.worker_id = worker_id


class PlacementPlan:
    """`displaced` are runs to stop, so that more urgent work gets their room."""

    __slots__ = ("assignments", "displaced")

    def __init__(self) -> None:
        self.assignments: list[Assignment] = []
        self.displaced: list[TaskRun] = []
