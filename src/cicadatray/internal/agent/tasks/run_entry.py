"""A run that an agent is responsible for."""

import asyncio
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
    the run. `unanswered_s` is the event loop time at which an order to start it first got no
    answer, None if the last one was answered. `may_have_begun` is set while an order to start it
    may have been carried out. The worker's first list with the run was received at
    `first_listed_s`. `begun_by_s` is a time on the worker's clock by which the run had begun, or
    None if the worker has told none. The run was on the worker for `observed_s` or longer, as its
    later lists show.
    """

    __slots__ = (
        "answered_s",
        "begun_by_s",
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
        "unanswered_s",
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
        self.begun_by_s: float | None = None
        self.observed_s = 0.0
        self.times_missing = 0
        self.unanswered_s: float | None = None

    def record_start_answered(self) -> None:
        """Records an answer to the start, which settles nothing once the run is being stopped."""
        if self.phase is not RunPhase.STOPPING:
            self.answered_s = asyncio.get_running_loop().time()

    def record_accepted(self, clock_s: float) -> None:
        """Records that the worker has accepted the start, at `clock_s` on its clock or earlier."""
        self.record_start_answered()
        if self.begun_by_s is None and clock_s:
            self.begun_by_s = clock_s
        if self.phase is RunPhase.STARTING:
            self.phase = RunPhase.RUNNING

    def record_listed(
        self, report: RunReport, asked_s: float, received_s: float, clock_s: float = 0.0
    ) -> None:
        """Records that the list which was requested at `asked_s` contains the run.

        An answer may wait for the end of a run and arrive late, so that only `clock_s` of the
        worker in it shows for how long the run was there, or the time at which it was requested if
        the worker tells no clock. The latter also counts the time for which the machine, and the
        run with it, was suspended.
        """
        self.percent = report.percent
        self.checkpoint = report.checkpoint
        self.times_missing = 0
        self.may_have_begun = True
        if self.first_listed_s is None:
            self.first_listed_s = received_s
        if clock_s:
            self.begun_by_s = min(clock_s, self.begun_by_s or clock_s)
            self.observed_s = max(self.observed_s, clock_s - self.begun_by_s)
        else:
            self.observed_s = max(self.observed_s, asked_s - self.first_listed_s)
        if self.phase is RunPhase.STARTING:
            self.phase = RunPhase.RUNNING

    def report(self) -> RunReport:
        """Returns the report of the run to control."""
        return RunReport(
            self.run, self.percent, self.checkpoint, self.may_have_begun, self.observed_s
        )
