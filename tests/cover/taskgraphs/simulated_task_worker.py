"""A simulated worker of task graphs with its own clock and delayed orders."""

import asyncio
import random
from collections.abc import Callable
from contextvars import Context
from typing import Any

from cicadatray.internal.agent.tasks.errors import (
    WorkerReplacedError,
    WorkerUnansweredError,
    WorkerUnreachableError,
)
from cicadatray.internal.agent.tasks.worker_clock import WorkerClock
from cicadatray.internal.agent.tasks.worker_port import StartAnswer, WorkerView
from cicadatray.internal.wire.messages.graph_messages import (
    RunEnd,
    RunOrder,
    RunReport,
    WorkerOffer,
)
from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.run_outcome import RunOutcome
from cicadatray.scheduling.taskgraphs.task_id import TaskId, TaskRun

STOP_S = 0.2
LONGEST_LEASE_S = 6.0
ORDER_TIMEOUT_S = 0.8
MAX_ORDER_DELAY_S = 6.0
CRASH_DELAY_S = 0.01
DOWN_S = 3.2
CAPACITY = Resources(8000, 8000, 8)
ENDS_PER_ANSWER = 500
DATA_CENTRES = 2


class SimulatedTaskWorker:
    """A simulated worker; `restart` begins its next incarnation.

    It crashes `crash_delay_s` after the start of a task of one of the `deadly_graphs`, and is down
    for `DOWN_S`. `crashes` holds the runs that were lost in each of its crashes. `capacity` may
    change while it runs. While `is_unresponsive` is set, calls time out and their orders are
    carried out late, or never with `loses_orders`.

    It lists at most `ends_per_answer` ends at once, the ones with the lowest numbers.

    `on_start` and `on_end` are called for each start and end, and `on_note` for
    each end when the worker learns that it is durable, so that the simulation can check them. An
    end that is durable only after the lease has expired does not count: control may have started
    the task again by then. `expired_number` is the last end before the latest expiry.
    `start_sent_s` is when the agent sent the start that was carried out last; an order in flight
    may arrive late. Its clock has not counted `suspended_s`, nor the time since `suspended_at_s`.
    """

    __slots__ = (
        "capacity",
        "clock_rate",
        "crash_delay_s",
        "crashes",
        "deadly_graphs",
        "ended",
        "ends_per_answer",
        "expired_number",
        "highest_runs",
        "incarnation",
        "is_down",
        "is_draining",
        "is_unresponsive",
        "lease_until_s",
        "loses_orders",
        "name",
        "noted_number",
        "on_end",
        "on_note",
        "on_start",
        "random",
        "running",
        "start_sent_s",
        "stopping",
        "suspended_at_s",
        "suspended_s",
        "token",
    )

    def __init__(
        self,
        name: str,
        seed: int,
        on_start: Callable[["SimulatedTaskWorker", TaskRun], None],
        on_end: Callable[["SimulatedTaskWorker", TaskRun, RunOutcome], None],
        on_note: Callable[[RunEnd], None],
    ) -> None:
        self.name = name
        self.random = random.Random(seed)
        # The clock of a worker may be 2% slow.
        self.clock_rate = 1.0 - 0.02 * self.random.random()
        self.capacity = CAPACITY
        self.ends_per_answer = ENDS_PER_ANSWER
        self.incarnation = 0
        self.on_start = on_start
        self.on_end = on_end
        self.on_note = on_note
        self.is_unresponsive = False
        self.loses_orders = False
        self.is_down = False
        self.start_sent_s = 0.0
        self.deadly_graphs: set[str] = set()
        self.crash_delay_s = CRASH_DELAY_S
        self.crashes: list[set[TaskRun]] = []
        self.suspended_s = 0.0
        self.suspended_at_s: float | None = None
        self.restart()

    @property
    def worker_id(self) -> str:
        """The identifier of the current incarnation."""
        return f"{self.name}-{self.incarnation}"

    @property
    def data_centre(self) -> str:
        """The data centre; workers with adjacent numbers are in different ones."""
        return f"d{int(self.name[1:]) % DATA_CENTRES}"

    def restart(self) -> None:
        """Loses all runs and the list of ends, and begins the next incarnation."""
        for run in list(getattr(self, "running", {})):
            self.on_end(self, run, RunOutcome.LOST)
        self.incarnation += 1
        self.is_draining = False
        self.running: dict[TaskRun, float] = {}
        self.stopping: set[TaskRun] = set()
        self.ended: list[RunEnd] = []
        self.noted_number = 0
        self.expired_number = 0
        self.highest_runs: dict[TaskId, int] = {}
        self.token = 0
        self.lease_until_s = 0.0

    def crash(self) -> None:
        """Loses all runs; the next incarnation begins `DOWN_S` later."""
        if self.is_down:
            return
        self.crashes.append(set(self.running))
        for run in list(self.running):
            del self.running[run]
            self.on_end(self, run, RunOutcome.LOST)
        self.is_down = True
        _call_later(DOWN_S, self.come_back)

    def come_back(self) -> None:
        """Begins the next incarnation after a crash."""
        self.is_down = False
        self.restart()

    def offer(self) -> WorkerOffer:
        """Returns the offer that the worker announces."""
        rack = f"r{self.name[-1]}"
        return WorkerOffer(
            self.worker_id,
            "pool",
            self.data_centre,
            rack,
            ("a", rack),
            self.capacity,
            is_draining=self.is_draining,
            remaining_s=3.0 if self.is_draining else 0.0,
        )

    def clock_s(self) -> float:
        """Returns the time on the worker's own clock, in seconds."""
        now_s = asyncio.get_event_loop().time()
        if self.suspended_at_s is not None:
            now_s = self.suspended_at_s
        return 1000.0 + (now_s - self.suspended_s) * self.clock_rate

    def suspend(self) -> None:
        """Suspends its machine; the caller freezes the agent on it."""
        self.suspended_at_s = asyncio.get_event_loop().time()

    def resume(self) -> None:
        """Ends the suspension of its machine."""
        if self.suspended_at_s is not None:
            self.suspended_s += asyncio.get_event_loop().time() - self.suspended_at_s
            self.suspended_at_s = None

    def tick(self) -> None:
        """Ends all runs once the lease has expired."""
        if self.clock_s() >= self.lease_until_s:
            for run in list(self.running):
                self.end(run, RunOutcome.LAPSED)
            self.expired_number = self.ended[-1].number if self.ended else 0

    def end(self, run: TaskRun, outcome: RunOutcome) -> None:
        """Ends a run and adds it to the list of ends."""
        if run not in self.running:
            return
        del self.running[run]
        self.stopping.discard(run)
        number = 1 + (self.ended[-1].number if self.ended else 0)
        self.ended.append(RunEnd(run, outcome, number))
        self.on_end(self, run, outcome)

    def start(
        self, order: RunOrder, token: int, lease_until_s: float, sent_s: float
    ) -> StartAnswer:
        """Carries out a start order that was sent at `sent_s`."""
        if token < self.token:
            return StartAnswer.REFUSED
        self.token = token
        run = order.run
        if lease_until_s <= self.clock_s():
            return StartAnswer.LEASE_OVER
        self._extend(lease_until_s)
        if run in self.running:
            return StartAnswer.ACCEPTED
        if run.run <= self.highest_runs.get(run.task, 0):
            return StartAnswer.REFUSED
        self.highest_runs[run.task] = run.run
        self.start_sent_s = sent_s
        self.running[run] = asyncio.get_event_loop().time()
        self.on_start(self, run)
        if run.task.graph_id in self.deadly_graphs:
            _call_later(self.crash_delay_s, self._crash_under, run)
        return StartAnswer.ACCEPTED

    def stop(self, run: TaskRun, token: int) -> None:
        """Carries out a stop order."""
        if token < self.token:
            raise WorkerUnansweredError("the token is too low")
        self.token = token
        self.highest_runs[run.task] = max(run.run, self.highest_runs.get(run.task, 0))
        if run in self.running and run not in self.stopping:
            self.stopping.add(run)
            asyncio.get_event_loop().call_later(STOP_S, self.end, run, RunOutcome.STOPPED)

    def observe(self, token: int, committed_end_number: int, lease_until_s: float) -> WorkerView:
        """Extends the lease and returns the runs and the ends after `committed_end_number`."""
        if token < self.token:
            raise WorkerUnansweredError("the token is too low")
        self.token = token
        if lease_until_s:
            self._extend(lease_until_s)
        for end in self.ended:
            if self.noted_number < end.number <= committed_end_number:
                self.noted_number = end.number
                if end.number > self.expired_number:
                    self.on_note(end)
        running = tuple(RunReport(run, 50) for run in self.running)
        unseen = [end for end in self.ended if end.number > committed_end_number]
        listed = tuple(unseen[: self.ends_per_answer])
        is_complete = len(listed) < self.ends_per_answer
        return WorkerView(running, listed, is_complete, clock_s=self.clock_s())

    def lose(self, run: TaskRun) -> None:
        """Loses a run without an end of it in any list."""
        if self.running.pop(run, None) is not None:
            self.stopping.discard(run)
            self.on_end(self, run, RunOutcome.LOST)

    def _crash_under(self, run: TaskRun) -> None:
        if run in self.running:
            self.crash()

    def _extend(self, lease_until_s: float) -> None:
        longest_s = self.clock_s() + LONGEST_LEASE_S
        self.lease_until_s = max(self.lease_until_s, min(lease_until_s, longest_s))


class SimulatedTaskWorkerPort:
    """Sends calls to one incarnation.

    Calls to an unresponsive worker time out; their orders are carried out up to 6 s later.
    """

    __slots__ = ("clock", "worker", "worker_id")

    def __init__(self, worker: SimulatedTaskWorker) -> None:
        self.worker = worker
        self.worker_id = worker.worker_id
        self.clock = WorkerClock()

    def clock_s(self) -> float:
        return self.clock.lower_bound_s(asyncio.get_running_loop().time())

    async def start(self, order: RunOrder, token: int, lease_until_s: float) -> StartAnswer:
        sent_s = asyncio.get_running_loop().time()
        await self._deliver(lambda: self.worker.start(order, token, lease_until_s, sent_s))
        return self.worker.start(order, token, lease_until_s, sent_s)

    async def stop(self, run: TaskRun, token: int) -> None:
        await self._deliver(lambda: self.worker.stop(run, token))
        self.worker.stop(run, token)

    async def observe(
        self, token: int, committed_end_number: int, lease_until_s: float, wait_s: float
    ) -> WorkerView:
        await self._deliver(lambda: self.worker.observe(token, committed_end_number, lease_until_s))
        deadline_s = asyncio.get_running_loop().time() + wait_s
        view = self.worker.observe(token, committed_end_number, lease_until_s)
        while not view.ended and asyncio.get_running_loop().time() < deadline_s:
            await asyncio.sleep(0.05)
            self._check_incarnation()
            if self.worker.is_down:
                raise WorkerUnansweredError("connection reset")
            view = self.worker.observe(token, committed_end_number, 0.0)
        return view

    async def close(self) -> None:
        """Does nothing, because there are no connections."""

    async def _deliver(self, late_action: Callable[[], object]) -> None:
        await asyncio.sleep(0.002)
        self._check_incarnation()
        if self.worker.is_down:
            raise WorkerUnreachableError("connection refused")
        if not self.worker.is_unresponsive:
            self.clock.observe(self.worker.clock_s(), asyncio.get_running_loop().time())
            return
        incarnation = self.worker.incarnation

        def act() -> None:
            if self.worker.incarnation == incarnation and not self.worker.loses_orders:
                try:
                    late_action()
                except WorkerUnansweredError:
                    return

        delay_s = self.worker.random.uniform(0.0, MAX_ORDER_DELAY_S)
        asyncio.get_running_loop().call_later(delay_s, act)
        await asyncio.sleep(ORDER_TIMEOUT_S)
        raise WorkerUnansweredError("no answer")

    def _check_incarnation(self) -> None:
        if self.worker.worker_id != self.worker_id:
            raise WorkerReplacedError("another incarnation")


def _call_later(delay_s: float, action: Callable[..., None], *arguments: Any) -> None:
    """Schedules an action of a worker, which does not depend on the process that has called it."""
    asyncio.get_event_loop().call_later(delay_s, action, *arguments, context=Context())
