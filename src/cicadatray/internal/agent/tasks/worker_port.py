"""The interface of an agent to its worker."""

from collections.abc import Iterable
from enum import Enum
from typing import Protocol

import msgspec

from cicadatray.internal.wire.messages.graph_messages import RunEnd, RunOrder, RunReport
from cicadatray.scheduling.taskgraphs.task_id import TaskRun


class StartAnswer(Enum):
    """The answer of a worker to an order to start a run.

    `LEASE_OVER` means that the order's lease has ended on the worker's clock. `SUPERSEDED` means
    that this or a later run of the task has been there: an earlier order for it was carried out, or
    its stop. After `UNHEALTHY` and `REFUSED` the worker has not acted on this order.
    """

    ACCEPTED = "accepted"
    LEASE_OVER = "lease_over"
    SUPERSEDED = "superseded"
    UNHEALTHY = "unhealthy"
    REFUSED = "refused"


class WorkerView(msgspec.Struct, frozen=True):
    """The lists of a worker: all runs, and the ends above the number that control committed.

    A worker may limit how many ends it lists in one answer. It then lists the ones with the lowest
    numbers, and others once control has committed these. `is_complete` is False if a run or an end
    may have been left out. `clock_s` is the time of the worker's clock in the answer, 0 if unknown.
    """

    running: tuple[RunReport, ...]
    ended: tuple[RunEnd, ...]
    is_complete: bool
    clock_s: float = 0.0

    def find_absent(self, runs: Iterable[TaskRun]) -> list[TaskRun]:
        """Returns which of these runs certainly are neither on the worker nor among its ends.

        Nothing is known of a run that lists which are not complete do not contain.
        """
        if not self.is_complete:
            return []
        listed = {report.run for report in self.running} | {end.run for end in self.ended}
        return [run for run in runs if run not in listed]


class WorkerPort(Protocol):
    """Calls to one incarnation of a worker.

    Lease ends are in seconds on the worker's clock. `token` is the leader's term; the worker
    refuses calls with a lower one than it has seen. Every call raises `WorkerUnansweredError` when
    it may or may not have been carried out, possibly later, and `WorkerReplacedError` when another
    incarnation answered.
    """

    worker_id: str

    def clock_s(self) -> float:
        """Returns a lower bound of the worker's clock; 0 while it is unknown."""

    async def start(self, order: RunOrder, token: int, lease_until_s: float) -> StartAnswer:
        """Orders the start of a run; the order may be repeated."""

    async def stop(self, run: TaskRun, token: int) -> None:
        """Stops a run; a run that has not started can never start afterwards."""

    async def observe(
        self, token: int, committed_end_number: int, lease_until_s: float, wait_s: float
    ) -> WorkerView:
        """Extends the lease of all runs on the worker and returns its lists.

        Waits up to `wait_s` for an end numbered above `committed_end_number`. A `lease_until_s` of
        0 extends nothing.
        """

    async def close(self) -> None:
        """Releases connections."""
