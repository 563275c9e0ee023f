"""A run that an agent is responsible for."""

from enum import Enum

from cicadatray.internal.wire.messages.graph_messages import RunOrder, RunReport
from cicadatray.scheduling.taskgraphs.task_id import TaskRun


class RunPhase(Enum):
    """Phases of a run on the worker.

    A run is `STARTING` until the worker has accepted the order, and `STOPPING` until it is certain
    that the run has ended.
    """

    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


class RunEntry:
    """The state of one run on the worker.

    `order` is None for a run that an earlier incarnation of the agent has started. `answered_s` is
    the event loop time at which the worker last answered an order for the run; only a list that was
    requested later shows whether the run exists. `is_in_doubt` is set when an order got no answer
    or may have been sent by an earlier process of this agent: the worker may carry it out at any
    time until it has answered a stop. `times_missing` counts the lists in a row without the run.
    """

    __slots__ = (
        "answered_s",
        "checkpoint",
        "is_in_doubt",
        "order",
        "percent",
        "phase",
        "run",
        "times_missing",
    )

    def __init__(self, run: TaskRun, order: RunOrder | None, phase: RunPhase) -> None:
        self.run = run
        self.order = order
        self.phase = phase
        self.percent = -1
        self.checkpoint = ""
        self.answered_s = 0.0
        self.is_in_doubt = False
        self.times_missing = 0

    def report(self) -> RunReport:
        """Returns the report of the run to control."""
        return RunReport(self.run, self.percent, self.checkpoint)
