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
    time until it has answered a stop. `times_missing` counts the complete views in a row without
    the run. `may_have_begun` is set while an order to start it may have been carried out. The
    worker's first list with the run was received at `first_listed_s`, and the last one requested
    `observed_s` later.
    """

    __slots__ = (
        "answered_s",
        "checkpoint",
        "first_listed_s",
        "is_in_doubt",
        "may_have_begun",
        "observed_s",
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
        self.may_have_begun = order is None
        self.first_listed_s: float | None = None
        self.observed_s = 0.0
        self.times_missing = 0

    def record_listed(self, report: RunReport, asked_s: float, received_s: float) -> None:
        """Records that the list which was requested at `asked_s` contains the run."""
        self.percent = report.percent
        self.checkpoint = report.checkpoint
        self.times_missing = 0
        self.may_have_begun = True
        if self.first_listed_s is None:
            self.first_listed_s = received_s
        self.observed_s = max(self.observed_s, asked_s - self.first_listed_s)
        if self.phase is RunPhase.STARTING:
            self.phase = RunPhase.RUNNING

    def report(self) -> RunReport:
        """Returns the report of the run to control."""
        return RunReport(
            self.run, self.percent, self.checkpoint, self.may_have_begun, self.observed_s
        )
