"""Carries out the orders of control on one incarnation of a worker."""

import asyncio
from collections.abc import Callable

import structlog

from cicadatray.internal.agent.tasks.errors import (
    WorkerReplacedError,
    WorkerUnansweredError,
    WorkerUnreachableError,
)
from cicadatray.internal.agent.tasks.run_entry import RunEntry, RunPhase
from cicadatray.internal.agent.tasks.run_table import RunTable
from cicadatray.internal.agent.tasks.start_permission import StartPermission
from cicadatray.internal.agent.tasks.unexpected_errors import UnexpectedErrors
from cicadatray.internal.agent.tasks.worker_lease import WorkerLease
from cicadatray.internal.agent.tasks.worker_port import StartAnswer, WorkerPort
from cicadatray.internal.observability.counter import Counter
from cicadatray.internal.observability.repeated_event import RepeatedEvent
from cicadatray.internal.wire.messages.graph_messages import RunOrder, WorkerOrders

# Delay before an order is sent again to a worker that did not answer it.
ORDER_RETRY_S = 0.2

log = structlog.get_logger(__name__)


class OrderExecutor:
    """Repeats each order in an asyncio task of its own until the worker has answered it.

    `token` is the term of the leader whose orders are carried out. `knows_all_starts` is set by the
    first reply of control that leaves out no start. An earlier process of this agent may have sent
    the starts in the replies up to that one, and the worker may carry those out late. Starts are
    sent only while `permission` holds and the lease lasts, and are kept otherwise. Calls
    `on_change` when a change must be reported to control, `on_worker_activity` when the worker must
    be observed, `on_unreachable` when it refused a connection, and `on_replaced` when another
    incarnation of the worker answered.
    """

    __slots__ = (
        "answers",
        "failures",
        "is_cancelled",
        "is_draining",
        "knows_all_starts",
        "lease",
        "on_change",
        "on_replaced",
        "on_unreachable",
        "on_worker_activity",
        "permission",
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
        on_unreachable: Callable[[], None],
    ) -> None:
        self.port = port
        self.table = table
        self.lease = lease
        self.answers = answers
        self.on_change = on_change
        self.on_worker_activity = on_worker_activity
        self.on_replaced = on_replaced
        self.on_unreachable = on_unreachable
        self.permission = StartPermission()
        self.failures = UnexpectedErrors("order failed")
        self.is_cancelled = False
        self.token = 0
        self.is_draining = False
        self.knows_all_starts = False
        self.tasks: set[asyncio.Task[None]] = set()

    def apply(self, orders: WorkerOrders) -> None:
        """Starts to carry out the new orders in a reply of control."""
        self.table.drop_committed(orders.committed_end_number, orders.committed_clears)
        for run in orders.stops:
            entry = self.table.runs.get(run)
            if entry is None and run not in self.table.finished:
                # An earlier incarnation of this agent may have started it.
                entry = RunEntry(run, None, RunPhase.RUNNING)
                self.table.runs[run] = entry
            if entry is not None and entry.phase is not RunPhase.STOPPING:
                self.begin_stop(entry)
        added = [(order, self.table.add_start(order)) for order in orders.starts]
        started = [(order, entry) for order, entry in added if entry is not None]
        if started and not self.knows_all_starts:
            log.info(
                "starts may be repetitions",
                worker=self.port.worker_id,
                starts=len(started),
                has_all_starts=orders.has_all_starts,
            )
        for order, entry in started:
            entry.is_in_doubt = not self.knows_all_starts
            entry.may_have_begun = entry.is_in_doubt
            self._spawn(entry, self._start(entry, order))
        self.knows_all_starts = self.knows_all_starts or orders.has_all_starts
        self.on_worker_activity()

    def begin_stop(self, entry: RunEntry) -> None:
        """Starts to stop a run, even if its start is in doubt."""
        entry.phase = RunPhase.STOPPING
        entry.answered_s = 0.0
        self._spawn(entry, self._stop(entry))

    def cancel(self) -> None:
        """Cancels all orders, because the worker has ended."""
        self.is_cancelled = True
        self.failures.record_end()
        for task in self.tasks:
            task.cancel()

    def _spawn(self, entry: RunEntry, coroutine: "asyncio._CoroutineLike[None]") -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(lambda ended: self._end_order(entry, ended))

    def _end_order(self, entry: RunEntry, task: asyncio.Task[None]) -> None:
        """Has the run stopped if its order ended with an unexpected error.

        Nothing else would settle whether the worker has carried out the order.
        """
        self.tasks.discard(task)
        if self.is_cancelled:
            return
        error = asyncio.CancelledError() if task.cancelled() else task.exception()
        if error is None:
            self.failures.record_end()
            return
        self.failures.record(
            error,
            run=str(entry.run.task),
            number=entry.run.run,
            worker=self.port.worker_id,
            phase=entry.phase.value,
        )
        asyncio.get_running_loop().call_later(ORDER_RETRY_S, self._settle, entry)

    def _settle(self, entry: RunEntry) -> None:
        is_current = self.table.runs.get(entry.run) is entry
        if is_current and not self.is_cancelled and entry.phase is not RunPhase.RUNNING:
            self.begin_stop(entry)

    async def _start(self, entry: RunEntry, order: RunOrder) -> None:
        """Repeats the start until the worker answers or control stops the run."""
        unanswered = RepeatedEvent("start unanswered")
        withheld = RepeatedEvent("start withheld")
        try:
            await self._start_until_answered(entry, order, unanswered, withheld)
        finally:
            unanswered.record_end()
            withheld.record_end()

    async def _start_until_answered(
        self,
        entry: RunEntry,
        order: RunOrder,
        unanswered: RepeatedEvent,
        withheld: RepeatedEvent,
    ) -> None:
        task = str(order.run.task)
        while entry.phase is RunPhase.STARTING:
            if self.is_draining:
                self._abandon_start(entry, "worker drains")
                return
            obstacle = self._find_obstacle()
            if obstacle:
                await self._withhold(task, obstacle, withheld)
                continue
            withheld.record_end()
            had_begun, entry.may_have_begun = entry.may_have_begun, True
            try:
                lease_end_s = self.lease.end_to_send(self.port.clock_s())
                answer = await self.port.start(order, self.token, lease_end_s)
            except WorkerUnreachableError as error:
                entry.may_have_begun = had_begun
                self.on_unreachable()
                if not entry.may_have_begun:
                    self._abandon_start(entry, str(error))
                    return
                unanswered.record_failure(task, run=task, reason=str(error))
                await asyncio.sleep(ORDER_RETRY_S)
                continue
            except WorkerUnansweredError as error:
                entry.is_in_doubt = True
                if entry.unanswered_s is None:
                    entry.unanswered_s = asyncio.get_running_loop().time()
                unanswered.record_failure(task, run=task, reason=str(error))
                await asyncio.sleep(ORDER_RETRY_S)
                continue
            except WorkerReplacedError:
                self.on_replaced(self.port)
                return
            entry.unanswered_s = None
            self.answers.increment(answer=answer.value)
            if answer is StartAnswer.ACCEPTED:
                entry.record_accepted(self.port.clock_s())
                self.on_worker_activity()
                return
            entry.record_start_answered()
            if answer is StartAnswer.SUPERSEDED:
                # Only the worker's lists tell how the run that was there has ended.
                entry.is_in_doubt = True
            if answer is not StartAnswer.LEASE_OVER:
                self._abandon_start(entry, answer.value)
                return
            await asyncio.sleep(ORDER_RETRY_S)

    def _find_obstacle(self) -> str:
        """Returns why no start may be sent now, or an empty text."""
        if not self.permission.holds():
            return "control has not renewed the permission to start"
        # The worker's own lease may last longer, if the machine was suspended with its clock.
        return "control has not renewed the lease" if self.lease.is_over() else ""

    async def _withhold(self, task: str, reason: str, withheld: RepeatedEvent) -> None:
        """Keeps a start that may not be sent now, until the next reply of control or a retry."""
        withheld.record_failure(task, run=task, worker=self.port.worker_id, reason=reason)
        await self.permission.wait_for_renewal(ORDER_RETRY_S)

    def _abandon_start(self, entry: RunEntry, reason: str) -> None:
        log.info(
            "start refused",
            run=str(entry.run.task),
            number=entry.run.run,
            reason=reason,
            is_in_doubt=entry.is_in_doubt,
        )
        if entry.is_in_doubt:
            self.begin_stop(entry)
        elif entry.phase is RunPhase.STARTING:
            self.table.clear(entry)
            self.on_change()

    async def _stop(self, entry: RunEntry) -> None:
        """Repeats the stop until the worker answers; the end of the run is listed later."""
        unanswered = RepeatedEvent("stop unanswered")
        try:
            await self._stop_until_answered(entry, unanswered)
        finally:
            unanswered.record_end()

    async def _stop_until_answered(self, entry: RunEntry, unanswered: RepeatedEvent) -> None:
        task = str(entry.run.task)
        while entry.run in self.table.runs:
            try:
                await self.port.stop(entry.run, self.token)
            except WorkerUnansweredError as error:
                unanswered.record_failure(task, run=task, reason=str(error))
                await asyncio.sleep(ORDER_RETRY_S)
                continue
            except WorkerReplacedError:
                self.on_replaced(self.port)
                return
            entry.answered_s = asyncio.get_running_loop().time()
            self.on_worker_activity()
            return
