"""How an agent talks to the worker beside it."""

from enum import Enum
from typing import Protocol

import msgspec

from cicadatray.internal.wire.messages.graph_messages import RunEnd, RunOrder, RunReport
from cicadatray.scheduling.taskgraphs.task_id import TaskRun


class StartAnswer(Enum):
    """What a worker says to the order to start a run.

    `LEASE_OVER`: the order's lease has ended on the worker's clock. `UNHEALTHY` and `REFUSED`: the
    worker has done nothing with this order.
    """

    ACCEPTED = "accepted"
    LEASE_OVER = "lease_over"
    UNHEALTHY = "unhealthy"
    REFUSED = "refused"


class WorkerView(msgspec.Struct, frozen=True):
    """What a worker lists: all runs, and the ends behind the number that was noted."""

    running: tuple[RunReport, ...]
    ended: tuple[RunEnd, ...]


class WorkerPort(Protocol):
    """One incarnation of a worker. Lease ends are in seconds on the worker's own clock.

    Every call raises `WorkerUnansweredError` when it may or may not have been carried out, possibly
    later, and `WorkerReplacedError` when another incarnation answered.
    """

    worker_id: str

    def clock_s(self) -> float:
        """Returns a lower bound of the worker's clock; 0 while nothing is known of it."""

    async def start(self, order: RunOrder, token: int, lease_until_s: float) -> StartAnswer:
        """Orders a run; the same run may be ordered again."""

    async def stop(self, run: TaskRun, token: int) -> None:
        """Stops a run; one that has not begun never will."""

    async def observe(
        self, token: int, committed_end_number: int, lease_until_s: float, wait_s: float
    ) -> WorkerView:
        """Extends the lease of everything on the worker and returns its lists.

        Waits up to `wait_s` for an end numbered above `committed_end_number`. A `lease_until_s` of
        0 extends nothing.
        """

    async def close(self) -> None:
        """Releases connections."""
