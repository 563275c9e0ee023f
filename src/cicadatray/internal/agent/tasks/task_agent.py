"""Drives one worker according to the orders of control."""

import asyncio
from uuid import uuid4

import structlog

from cicadatray.internal.agent.tasks import sync_timing
from cicadatray.internal.agent.tasks.ended_worker import EndedWorker
from cicadatray.internal.agent.tasks.errors import WorkerReplacedError, WorkerUnansweredError
from cicadatray.internal.agent.tasks.leader_term import read_leader_term
from cicadatray.internal.agent.tasks.lease_watch import LeaseWatch
from cicadatray.internal.agent.tasks.order_executor import OrderExecutor
from cicadatray.internal.agent.tasks.run_table import RunTable
from cicadatray.internal.agent.tasks.sync_call import build_sync_call
from cicadatray.internal.agent.tasks.unexpected_errors import UnexpectedErrors
from cicadatray.internal.agent.tasks.worker_lease import DEFAULT_WORKER_LEASE_S, WorkerLease
from cicadatray.internal.agent.tasks.worker_observer import WorkerObserver
from cicadatray.internal.agent.tasks.worker_port import WorkerPort, WorkerView
from cicadatray.internal.control.graphs.graph_codes import WORKER_UNKNOWN
from cicadatray.internal.observability.graph_metrics import (
    agent_pauses,
    cleared_runs_ended,
    partial_worker_views,
    worker_starts_total,
)
from cicadatray.internal.observability.metrics_registry import MetricsRegistry
from cicadatray.internal.observability.repeated_event import RepeatedEvent
from cicadatray.internal.wire.control_client import ControlClient
from cicadatray.internal.wire.errors import WireError
from cicadatray.internal.wire.message import Failure, MessageStruct
from cicadatray.internal.wire.messages.graph_messages import WorkerOffer, WorkerOrders
from cicadatray.scheduling.taskgraphs.worker_end import WorkerEnd

log = structlog.get_logger(__name__)


class TaskAgent:
    """Syncs with control; `WorkerObserver` observes the worker, `OrderExecutor` sends the orders.

    `term` is the highest leader term received. `is_control_answering` is set when control has
    replied to the last call, so that the next one may wait for changes. `is_worker_reachable` is
    False while the worker refuses connections.
    """

    __slots__ = (
        "agent_id",
        "answered_sequence",
        "answers",
        "changed",
        "control",
        "ended_worker",
        "executor",
        "former_workers",
        "incarnation",
        "is_control_answering",
        "is_worker_reachable",
        "lease",
        "not_adopted",
        "offer",
        "partial_views",
        "pauses",
        "port",
        "refuted_clears",
        "sequence",
        "sync_errors",
        "sync_tasks",
        "table",
        "term",
        "unanswered",
        "unlisted_ends",
        "without_orders",
        "work_available",
    )

    def __init__(
        self,
        agent_id: str,
        control: ControlClient,
        metrics: MetricsRegistry | None = None,
        worker_lease_s: float = DEFAULT_WORKER_LEASE_S,
    ) -> None:
        metrics = metrics or MetricsRegistry()
        self.answers = worker_starts_total(metrics)
        self.refuted_clears = cleared_runs_ended(metrics)
        self.partial_views = partial_worker_views(metrics)
        self.pauses = agent_pauses(metrics)
        self.agent_id = agent_id
        self.incarnation = uuid4().hex
        self.control = control
        self.offer: WorkerOffer | None = None
        self.port: WorkerPort | None = None
        self.executor: OrderExecutor | None = None
        self.table = RunTable(self.refuted_clears)
        self.lease = WorkerLease(worker_lease_s)
        self.not_adopted = RepeatedEvent("worker not adopted")
        self.unanswered = RepeatedEvent("worker unanswered")
        self.unlisted_ends = RepeatedEvent("worker may have unlisted ends")
        self.without_orders = RepeatedEvent("control gave no orders")
        self.former_workers: set[str] = set()
        self.ended_worker: EndedWorker | None = None  # until control has replied to its report
        self.term = 0
        self.sequence = 0
        self.answered_sequence = 0  # replies to calls up to this number are ignored
        self.is_control_answering = False
        self.is_worker_reachable = True
        self.changed = asyncio.Event()
        self.work_available = asyncio.Event()
        self.sync_tasks: set[asyncio.Task[BaseException | None]] = set()
        self.sync_errors = UnexpectedErrors("call to control failed")

    async def run(self) -> None:
        """Runs until cancelled."""
        try:
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._sync_loop())
                tasks.create_task(WorkerObserver(self).run())
                tasks.create_task(LeaseWatch(self).run())
        finally:
            for task in self.sync_tasks:
                task.cancel()
            if self.executor is not None:
                self.executor.cancel()
            events = (self.not_adopted, self.unanswered, self.unlisted_ends, self.without_orders)
            for repeated in (*events, self.sync_errors.repeated):
                repeated.record_end()

    async def receive_offer(self, offer: WorkerOffer, port: WorkerPort) -> bool:
        """Handles an offer; returns False for an ended worker and for a new one that did not answer
        yet, because an offer of an ended worker may arrive late."""
        if offer.worker_id in self.former_workers:
            return False
        if self.offer is None or self.offer.worker_id != offer.worker_id:
            return await self._adopt_worker(offer, port)
        self.lease.record_contact()
        self.set_reachable(True)
        if offer != self.offer:
            self._update_offer(offer)
        return True

    async def withdraw_worker(self, worker_id: str) -> None:
        """Drops a worker that has announced its end, and refuses its later offers."""
        self.former_workers.add(worker_id)
        if self.offer is not None and self.offer.worker_id == worker_id:
            log.info("worker withdrew", worker=worker_id)
            self.drop_worker(WorkerEnd.WITHDRAWN)

    def set_reachable(self, is_reachable: bool) -> None:
        """Records whether the worker accepts connections, and reports a change to control."""
        if is_reachable is self.is_worker_reachable:
            return
        self.is_worker_reachable = is_reachable
        worker_id = self.offer.worker_id if self.offer is not None else ""
        log.info("worker reachable" if is_reachable else "worker unreachable", worker=worker_id)
        self.changed.set()

    def _update_offer(self, offer: WorkerOffer) -> None:
        if self.offer is not None and offer.is_draining and not self.offer.is_draining:
            log.info("worker drains", worker=offer.worker_id, remaining_s=offer.remaining_s)
        self.offer = offer
        if self.executor is not None:
            self.executor.is_draining = offer.is_draining
        self.changed.set()

    async def _adopt_worker(self, offer: WorkerOffer, port: WorkerPort) -> bool:
        try:
            if not self.term:
                # A worker that has seen a leader's term refuses calls with a lower one.
                self.term = max(await read_leader_term(self.control), self.term)
            view = await port.observe(self.term, 0, 0.0, 0.0)
        except (WorkerUnansweredError, WorkerReplacedError, WireError) as error:
            kind = f"{offer.worker_id}: {type(error).__name__}"
            self.not_adopted.record_failure(kind, worker=offer.worker_id, reason=str(error))
            return False
        self.not_adopted.record_end()
        if offer.worker_id in self.former_workers:
            return False
        if self.offer is not None:
            if self.offer.worker_id == offer.worker_id:
                if offer.is_draining:  # a worker that drains never becomes ready again
                    self._update_offer(offer)
                return True
            self.former_workers.add(self.offer.worker_id)
            self.drop_worker(WorkerEnd.CRASHED)
        self._start_driving(offer, port, view)
        return True

    def _start_driving(self, offer: WorkerOffer, port: WorkerPort, view: WorkerView) -> None:
        self.port = port
        self.table = RunTable(self.refuted_clears)
        self.table.apply_view(view, 0.0, asyncio.get_running_loop().time())
        self.lease = WorkerLease(self.lease.longest_s)
        self.executor = OrderExecutor(
            port,
            self.table,
            self.lease,
            self.answers,
            on_change=self.changed.set,
            on_worker_activity=self.work_available.set,
            on_replaced=self.replace_worker,
            on_unreachable=lambda: self.set_reachable(False),
        )
        self.is_worker_reachable = True
        self.executor.token = self.term
        self._update_offer(offer)
        log.info("worker adopted", worker=offer.worker_id, runs=len(view.running))
        self.work_available.set()

    def drop_worker(self, cause: WorkerEnd) -> None:
        """Stops driving the current worker, which has ended, and reports its end to control."""
        if self.offer is not None:
            ends, runs = self.table.reported_ends(), self.table.reported_runs()
            self.ended_worker = EndedWorker(self.offer.worker_id, cause, ends, runs)
        executor, self.executor = self.executor, None
        self.offer, self.port = None, None
        self.table = RunTable(self.refuted_clears)
        if executor is not None:
            executor.cancel()
        self.changed.set()

    def replace_worker(self, port: WorkerPort) -> None:
        """Drops the worker of a port after another incarnation has answered there."""
        if self.port is port:
            self.former_workers.add(port.worker_id)
            log.info("worker replaced", worker=port.worker_id)
            self.drop_worker(WorkerEnd.CRASHED)

    async def _sync_loop(self) -> None:
        while True:
            if self.offer is None and self.ended_worker is None:
                await self.changed.wait()
            await asyncio.sleep(sync_timing.BATCH_DELAY_S)
            self.changed.clear()
            if self.offer is None and self.ended_worker is None:
                continue
            self.sequence += 1
            work = self._sync(self.sequence, self.offer)
            sync = asyncio.create_task(self.sync_errors.guard(work, sync_timing.RETRY_S))
            self.sync_tasks.add(sync)
            sync.add_done_callback(self.sync_tasks.discard)
            change = asyncio.create_task(self.changed.wait())
            await asyncio.wait((sync, change), return_when=asyncio.FIRST_COMPLETED)
            change.cancel()

    async def _sync(self, sequence: int, offer: WorkerOffer | None) -> None:
        port, ended = self.port, self.ended_worker
        call = build_sync_call(self, sequence, offer)
        asked_s = asyncio.get_running_loop().time()
        worker_asked_s = port.clock_s() if port else 0.0
        try:
            reply = await self.control.call(
                call, sync_timing.TIMEOUT_S, sync_timing.ATTEMPT_TIMEOUT_S
            )
        except WireError as error:
            if self.is_control_answering:
                log.warning(
                    "control lost", reason=str(error), lease_until_s=self.lease.granted_until_s
                )
            self.is_control_answering = False
            await asyncio.sleep(sync_timing.RETRY_S)
            return
        if isinstance(reply, Failure) and reply.code != WORKER_UNKNOWN:
            # Control has not recorded the report, which is repeated with the next call.
            await self._wait_after_refusal(reply)
            return
        if self.ended_worker is ended:
            self.ended_worker = None
        if port is not None and self.port is port and sequence > self.answered_sequence:
            await self._take_reply(sequence, reply, worker_asked_s, asked_s)

    async def _wait_after_refusal(self, reply: MessageStruct) -> None:
        self.is_control_answering = False
        self.without_orders.record_failure(type(reply).__name__, reply=str(reply))
        await asyncio.sleep(sync_timing.RETRY_S)

    async def _take_reply(
        self, sequence: int, reply: MessageStruct, worker_asked_s: float, asked_s: float
    ) -> None:
        """Carries out a reply to a call at `asked_s`, which is `worker_asked_s` for the worker."""
        executor = self.executor
        if executor is None or not isinstance(reply, WorkerOrders):
            await self._wait_after_refusal(reply)
            return
        self.without_orders.record_end()
        if reply.term < self.term or reply.worker_id != executor.port.worker_id:
            return
        if not self.is_control_answering:
            log.info("control regained", term=reply.term, leader=self.control.leader_name)
        self.is_control_answering = True
        self.answered_sequence = sequence
        self.term = reply.term
        executor.token = reply.term
        self.lease.grant(asked_s, worker_asked_s, reply.lease_s)
        executor.permission.renew(asked_s, reply.start_permission_s)
        executor.apply(reply)
