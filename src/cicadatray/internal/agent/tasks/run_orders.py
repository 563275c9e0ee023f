"""Carries out the orders of control on one incarnation of a worker."""

import asyncio
from collections.abc import Callable

import structlog

from cicadatray.internal.agent.tasks.errors import WorkerReplacedError, WorkerUnansweredError
from cicadatray.internal.agent.tasks.held_run import HeldRun, RunPhase
from cicadatray.internal.agent.tasks.run_table import RunTable
from cicadatray.internal.agent.tasks.worker_lease import WorkerLease
from cicadatray.internal.agent.tasks.worker_port import StartAnswer, WorkerPort
from cicadatray.internal.observability.counter import Counter
from cicadatray.internal.observability.repeated_event import RepeatedEvent
from cicadatray.internal.wire.messages.graph_messages import RunOrder, WorkerOrders

# Pause before a worker that did not answer gets an order again.
ORDER_RETRY_S = 0.2

log = structlog.get_logger(__name__)


class RunOrders:
    """Drives each order in an asyncio task of its own until the worker has answered it.

    `token` is the term of the leader whose orders are carried out. The callbacks: `on_change` when
    control must be told of a change, `on_worker_activity` when the worker has to be observed,
    `on_replaced` when another incarnation of the worker answered.
    """

    __slots__ = (
        "answers",
        "is_draining",
        "lease",
        "on_change",
        "on_replaced",
        "on_worker_activity",
        "port",
        "table",
        "tasks",
        "token",
    )

    def __init__(
        self,
        port: WorkerPort,
        table: RunTable,
        lease: WorkerLease,
        answers: Counter,
        on_change: Callable[[], None],
        on_worker_activity: Callable[[], None],
        on_replaced: Callable[[WorkerPort], None],
    ) -> None:
        self.port = port
        self.table = table
        self.lease = lease
        self.answers = answers
        self.on_change = on_change
        self.on_worker_activity = on_worker_activity
        self.on_replaced = on_replaced
        self.token = 0
        self.is_draining = False
        self.tasks: set[asyncio.Task[None]] = set()

    def apply(self, orders: WorkerOrders) -> None:
        """Begins to carry out what is new in the answer of control."""
        self.table.drop_committed(orders.committed_end_number, orders.committed_clears)
        for run in orders.stops:
            held = self.table.runs.get(run)
            if held is None and run not in self.table.finished:
                # An earlier life of this agent may have ordered it.
                held = HeldRun(run, None, RunPhase.RUNNING)
                self.table.runs[run] = held
            if held is not None and held.phase is not RunPhase.STOPPING:
                self.begin_stop(held)
        for order in orders.starts:
            started = self.table.add_start(order)
            if started is not None:
                self._spawn(self._start(started, order))
        self.on_worker_activity()

    def begin_stop(self, held: HeldRun) -> None:
        """Stops a run, also one whose start is in doubt."""
        held.phase = RunPhase.STOPPING
        held.answered_s = 0.0
        self._spawn(self._stop(held))

    def cancel(self) -> None:
        """Gives up all orders: the worker is gone."""
        for task in self.tasks:
            task.cancel()

    def _spawn(self, coroutine: "asyncio._CoroutineLike[None]") -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _start(self, held: HeldRun, order: RunOrder) -> None:
        """Orders the run until the worker answers, or control wants it stopped."""
        unanswered = RepeatedEvent("start unanswered")
        try:
            await self._start_until_answered(held, order, unanswered)
        finally:
            unanswered.record_end()

    async def _start_until_answered(
        self, held: HeldRun, order: RunOrder, unanswered: RepeatedEvent
    ) -> None:
        task = str(order.run.task)
        while held.phase is RunPhase.STARTING:
            if self.is_draining:
                self._give_up(held, "worker drains")
                return
            try:
                answer = await self.port.start(order, self.token, self.lease.end_to_send())
            except WorkerUnansweredError as error:
                held.is_in_doubt = True
                unanswered.record_failure(task, run=task, reason=str(error))
                await asyncio.sleep(ORDER_RETRY_S)
                continue
            except WorkerReplacedError:
                self.on_replaced(self.port)
                return
            held.answered_s = asyncio.get_running_loop().time()
            self.answers.increment(answer=answer.value)
            if answer is StartAnswer.ACCEPTED:
                if held.phase is RunPhase.STARTING:
                    held.phase = RunPhase.RUNNING
                self.on_worker_activity()
                return
            if answer is not StartAnswer.LEASE_OVER:
                self._give_up(held, answer.value)
                return
            await asyncio.sleep(ORDER_RETRY_S)

    def _give_up(self, held: HeldRun, reason: str) -> None:
        log.info("start refused", run=str(held.run.task), number=held.run.run, reason=reason)
        if held.is_in_doubt:
            self.begin_stop(held)
        elif held.phase is RunPhase.STARTING:
            self.table.clear(held)
            self.on_change()

    async def _stop(self, held: HeldRun) -> None:
        """Stops the run until the worker answers; its end is listed later."""
        unanswered = RepeatedEvent("stop unanswered")
        try:
            await self._stop_until_answered(held, unanswered)
        finally:
            unanswered.record_end()

    async def _stop_until_answered(self, held: HeldRun, unanswered: RepeatedEvent) -> None:
        task = str(held.run.task)
        while held.run in self.table.runs:
            try:
                await self.port.stop(held.run, self.token)
            except WorkerUnansweredError as error:
                unanswered.record_failure(task, run=task, reason=str(error))
                await asyncio.sleep(ORDER_RETRY_S)
                continue
            except WorkerReplacedError:
                self.on_replaced(self.port)
                return
            held.answered_s = asyncio.get_running_loop().time()
            self.on_worker_activity()
            return
