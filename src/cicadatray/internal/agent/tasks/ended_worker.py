"""A worker that has ended, until control knows of it."""

from cicadatray.internal.wire.messages.graph_messages import RunEnd, RunReport
from cicadatray.scheduling.taskgraphs.worker_end import WorkerEnd


class EndedWorker:
    """The last worker of an agent, the cause of its end, the ends that it had listed and its runs.

    `runs` are those that had not ended, as the agent knew them last. `ends` are those that the
    agent does not know to be committed. Without them control would start the tasks again.
    """

    __slots__ = ("cause", "ends", "runs", "worker_id")

    def __init__(
        self,
        worker_id: str,
        cause: WorkerEnd,
        ends: tuple[RunEnd, ...],
        runs: tuple[RunReport, ...],
    ) -> None:
        self.worker_id = worker_id
        self.cause = cause
        self.ends = ends
        self.runs = runs
