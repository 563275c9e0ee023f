"""A run that an agent is responsible for."""

from enum import Enum

from cicadatray.internal.wire.messages.graph_messages import RunOrder, RunReport
from cicadatray.scheduling.taskgraphs.task_id import TaskRun


class RunPhase(Enum):
    """`STARTING` until the worker has accepted the order, `STOPPING` until it has surely ended."""

    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


class HeldRun:
    """`order` is None for a run that an earlier life of the agent has started.

    `answered_s` is when the worker last answered an order about the run: only a list that was asked
    for later tells whether the run is there. `is_in_doubt`: an order got no answer, so the worker
    may carry it out at any time until it has answered a stop.
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
        """Returns what control is told."""
        return RunReport(self.run, self.percent, self.checkpoint)
