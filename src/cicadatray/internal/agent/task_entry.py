"""A task of a gang in the agent's table."""

from cicadatray.internal.wire.messages.directory_messages import TaskReport

PREPARED = "prepared"
RUNNING = "running"
FINISHED = "finished"
FAILED = "failed"
# Only a worker reports this state, for a task that it has ended on an order or with its lease.
STOPPED = "stopped"


class TaskEntry:
    """The state of one task; `state` and `run_s` follow the worker's reports."""

    __slots__ = ("accelerators", "epoch", "job_id", "run_s", "state")

    def __init__(self, job_id: str, epoch: int, accelerators: int) -> None:
        self.job_id = job_id
        self.epoch = epoch
        self.accelerators = accelerators
        self.state = PREPARED
        self.run_s = 0.0

    def report(self) -> TaskReport:
        """Returns the report of the task for an announcement."""
        return TaskReport(self.job_id, self.epoch, self.state, self.run_s)
