"""The decision of a placement round to start one run."""

from cicadatray.scheduling.taskgraphs.task_id import TaskRun


class Assignment:
    """Assigns a run to the worker that shall start it."""

    __slots__ = ("run", "worker_id")

    def __init__(self, run: TaskRun, worker_id: str) -> None:
        self.run = run
        self.worker_id = worker_id
