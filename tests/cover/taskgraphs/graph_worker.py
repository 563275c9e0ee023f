"""A simulated worker of task graphs with a clock of its own, late orders and gangs."""

import asyncio
import random
from collections.abc import Callable

from cicadatray.internal.agent.tasks.errors import WorkerReplacedError, WorkerUnansweredError
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
LATEST_ORDER_S = 6.0
CAPACITY = Resources(8000, 8000, 8)


class GraphWorker:
    """One machine; `restart` makes it the next incarnation. `is_mute`: orders are carried out late.

    `on_start` is told of each start, `on_end` of each end, so that the world can check them.
    """

    __slots__ = (
        "ended",
        "highest",
        "incarnation",
        "is_draining",
        "is_mute",
        "lease_until_s",
        "name",
        "on_end",
        "on_start",
        "random",
        "rate",
        "running",
        "stopping",
        "token",
    )

    def __init__(
        self,
        name: str,
        seed: int,
        on_start: Callable[["GraphWorker", TaskRun], None],
        on_end: Callable[["GraphWorker", TaskRun, RunOutcome], None],
    ) -> None:
        self.name = name
        self.random = random.Random(seed)
        # The clock of a worker may be 2% slow.
        self.rate = 1.0 - 0.02 * self.random.random()
        self.incarnation = 0
        self.on_start = on_start
        self.on_end = on_end
        self.is_mute = False
        self.restart()

    @property
    def worker_id(self) -> str:
        """Identity of the present incarnation."""
        return f"{self.name}-{self.incarnation}"

    def restart(self) -> None:
        """Loses everything that runs, without a list of ends."""
        for run in list(getattr(self, "running", {})):
            self.on_end(self, run, RunOutcome.LOST)
        self.incarnation += 1
        self.is_draining = False
        self.running: dict[TaskRun, float] = {}
        self.stopping: set[TaskRun] = set()
        self.ended: list[RunEnd] = []
        self.highest: dict[TaskId, int] = {}
        self.token = 0
        self.lease_until_s = 0.0

    def offer(self) -> WorkerOffer:
        """Returns what the worker announces."""
        rack = f"r{self.name[-1]}"
        return WorkerOffer(
            self.worker_id,
            "pool",
            "d0",
            rack,
            ("a", rack),
            CAPACITY,
            is_draining=self.is_draining,
            remaining_s=3.0 if self.is_draining else 0.0,
        )

    def clock_s(self) -> float:
        """Returns the worker's own clock."""
        return 1000.0 + asyncio.get_event_loop().time() * self.rate

    def tick(self) -> None:
        """Ends what has lost its lease."""
        if self.running and self.clock_s() >= self.lease_until_s:
            for run in list(self.running):
                self.end(run, RunOutcome.LAPSED)

    def end(self, run: TaskRun, outcome: RunOutcome) -> None:
        """Ends a run and lists the end."""
        if run not in self.running:
            return
        del self.running[run]
        self.stopping.discard(run)
        number = 1 + (self.ended[-1].number if self.ended else 0)
        self.ended.append(RunEnd(run, outcome, number))
        self.on_end(self, run, outcome)

    def start(self, order: RunOrder, token: int, lease_until_s: float) -> StartAnswer:
        """Carries out an order to start."""
        if token < self.token:
            return StartAnswer.REFUSED
        self.token = token
        run = order.run
        if lease_until_s <= self.clock_s():
            return StartAnswer.LEASE_OVER
        self._extend(lease_until_s)
        if run in self.running:
            return StartAnswer.ACCEPTED
        if run.run <= self.highest.get(run.task, 0):
            return StartAnswer.REFUSED
        self.highest[run.task] = run.run
        self.running[run] = asyncio.get_event_loop().time()
        self.on_start(self, run)
        return StartAnswer.ACCEPTED

    def stop(self, run: TaskRun, token: int) -> None:
        """Carries out an order to stop."""
        if token < self.token:
            raise WorkerUnansweredError("the token is too low")
        self.token = token
        self.highest[run.task] = max(run.run, self.highest.get(run.task, 0))
        if run in self.running and run not in self.stopping:
            self.stopping.add(run)
            asyncio.get_event_loop().call_later(STOP_S, self.end, run, RunOutcome.STOPPED)

    def hold(self, token: int, committed_end_number: int, lease_until_s: float) -> WorkerView:
        """Extends the lease and returns the lists."""
        if token < self.token:
            raise WorkerUnansweredError("the token is too low")
        self.token = token
        if lease_until_s:
            self._extend(lease_until_s)
        running = tuple(RunReport(run, 50) for run in self.running)
        return WorkerView(
            running, tuple(end for end in self.ended if end.number > committed_end_number)
        )

    def _extend(self, lease_until_s: float) -> None:
        longest_s = self.clock_s() + LONGEST_LEASE_S
        self.lease_until_s = max(self.lease_until_s, min(lease_until_s, longest_s))


class GraphWorkerPort:
    """Calls to one incarnation; a mute worker answers nothing and acts up to seconds later."""

    __slots__ = ("clock", "worker", "worker_id")

    def __init__(self, worker: GraphWorker) -> None:
        self.worker = worker
        self.worker_id = worker.worker_id
        self.clock = WorkerClock()

    def clock_s(self) -> float:
        return self.clock.lower_bound_s(asyncio.get_running_loop().time())

    async def start(self, order: RunOrder, token: int, lease_until_s: float) -> StartAnswer:
        await self._reach(lambda: self.worker.start(order, token, lease_until_s))
        return self.worker.start(order, token, lease_until_s)

    async def stop(self, run: TaskRun, token: int) -> None:
        await self._reach(lambda: self.worker.stop(run, token))
        self.worker.stop(run, token)

    async def observe(
        self, token: int, committed_end_number: int, lease_until_s: float, wait_s: float
    ) -> WorkerView:
        await self._reach(lambda: self.worker.hold(token, committed_end_number, lease_until_s))
        deadline_s = asyncio.get_running_loop().time() + wait_s
        view = self.worker.hold(token, committed_end_number, lease_until_s)
        while not view.ended and asyncio.get_running_loop().time() < deadline_s:
            await asyncio.sleep(0.05)
            self._check_incarnation()
            view = self.worker.hold(token, committed_end_number, 0.0)
        return view

    async def close(self) -> None:
        """Has no connections."""

    async def _reach(self, late_action: Callable[[], object]) -> None:
        await asyncio.sleep(0.002)
        self._check_incarnation()
        if not self.worker.is_mute:
            self.clock.observe(self.worker.clock_s(), asyncio.get_running_loop().time())
            return
        incarnation = self.worker.incarnation

        def act() -> None:
            if self.worker.incarnation == incarnation:
                try:
                    late_action()
                except WorkerUnansweredError:
                    return

        delay_s = self.worker.random.uniform(0.0, LATEST_ORDER_S)
        asyncio.get_running_loop().call_later(delay_s, act)
        await asyncio.sleep(ORDER_TIMEOUT_S)
        raise WorkerUnansweredError("no answer")

    def _check_incarnation(self) -> None:
        if self.worker.worker_id != self.worker_id:
            raise WorkerReplacedError("another incarnation")
