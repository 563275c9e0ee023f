"""One decision of a round of placement."""

from cicadatray.scheduling.taskgraphs.task_id import TaskRun


class Assignment:
    """A run to start on a worker."""

    __slots__ = ("run", "worker_id")

    def __init__(self, run: TaskRun, worker_id: str) -> None:
        self.run = run
        self.worker_id = worker_id
