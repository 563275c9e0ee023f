"""Keeps one worker in the state that control orders."""

import asyncio
from uuid import uuid4

import structlog

from cicadatray.internal.agent.tasks.errors import WorkerReplacedError, WorkerUnansweredError
from cicadatray.internal.agent.tasks.held_run import RunPhase
from cicadatray.internal.agent.tasks.leader_term import read_leader_term
from cicadatray.internal.agent.tasks.run_orders import RunOrders
from cicadatray.internal.agent.tasks.run_table import RunTable
from cicadatray.internal.agent.tasks.worker_lease import WorkerLease
from cicadatray.internal.agent.tasks.worker_port import WorkerPort, WorkerView
from cicadatray.internal.observability.graph_metrics import worker_starts_total
from cicadatray.internal.observability.metrics_registry import MetricsRegistry
from cicadatray.internal.observability.repeated_event import RepeatedEvent
from cicadatray.internal.wire.control_client import ControlClient, ControlUnavailableError
from cicadatray.internal.wire.message import MessageStruct
from cicadatray.internal.wire.messages.graph_messages import SyncWorker, WorkerOffer, WorkerOrders

# A call to control waits this long for news, so that the worker's lease is renewed in time.
SYNC_WAIT_S = 0.5
# A leader that does not answer within its wait and this much more is frozen or cut off.
SYNC_ATTEMPT_S = 1.2
SYNC_TIMEOUT_S = 3.0
SYNC_RETRY_S = 0.2
# News that arrives within this time goes into one call.
GATHER_S = 0.005
# The worker answers earlier when something ends; the lease must be extended in between.
OBSERVE_WAIT_S = 0.5
OBSERVE_RETRY_S = 0.2
OBSERVE_PAUSE_S = 0.05

log = structlog.get_logger(__name__)


class TaskAgent:
    """One task talks to control, one observes the worker; `RunOrders` drives the orders.

    `term` is the highest term of a leader heard so far. `is_in_step`: the last call to control was
    answered, so the next one may wait for news.
    """

    __slots__ = (
        "agent_id",
        "answered_sequence",
        "answers",
        "changed",
        "control",
        "former_workers",
        "ended_worker_id",
        "incarnation",
        "is_in_step",
        "lease",
        "not_adopted",
        "offer",
        "orders",
        "port",
        "sequence",
        "syncs",
        "table",
        "term",
        "unanswered",
        "without_orders",
        "work",
    )

    def __init__(
        self, agent_id: str, control: ControlClient, metrics: MetricsRegistry | None = None
    ) -> None:
        self.answers = worker_starts_total(metrics or MetricsRegistry())
        self.agent_id = agent_id
        self.incarnation = uuid4().hex
        self.control = control
        self.offer: WorkerOffer | None = None
        self.port: WorkerPort | None = None
        self.orders: RunOrders | None = None
        self.table = RunTable()
        self.lease = WorkerLease()
        self.not_adopted = RepeatedEvent("worker not adopted")
        self.unanswered = RepeatedEvent("worker unanswered")
        self.without_orders = RepeatedEvent("control gave no orders")
        self.former_workers: set[str] = set()
        self.ended_worker_id = ""
        self.term = 0
        self.sequence = 0
        self.answered_sequence = 0
        self.is_in_step = False
        self.changed = asyncio.Event()
        self.work = asyncio.Event()
        self.syncs: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Runs until cancelled."""
        try:
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._sync_again_and_again())
                tasks.create_task(self._observe_again_and_again())
        finally:
            for task in self.syncs:
                task.cancel()
            if self.orders is not None:
                self.orders.cancel()
            for repeated in (self.not_adopted, self.unanswered, self.without_orders):
                repeated.record_end()

    async def receive_offer(self, offer: WorkerOffer, port: WorkerPort) -> bool:
        """Returns False for a former incarnation, whose offers may arrive late, and for a new one
        that has not answered yet."""
        if offer.worker_id in self.former_workers:
            return False
        if self.offer is None or self.offer.worker_id != offer.worker_id:
            return await self._adopt(offer, port)
        self.lease.record_contact()
        if offer != self.offer:
            self._update_offer(offer)
        return True

    async def withdraw_worker(self, worker_id: str) -> None:
        """Forgets a worker that has said that it ends."""
        if self.offer is not None and self.offer.worker_id == worker_id:
            log.info("worker withdrew", worker=worker_id)
            self.former_workers.add(worker_id)
            self._drop_worker()

    def _update_offer(self, offer: WorkerOffer) -> None:
        if self.offer is not None and offer.is_draining and not self.offer.is_draining:
            log.info("worker drains", worker=offer.worker_id, remaining_s=offer.remaining_s)
        self.offer = offer
        if self.orders is not None:
            self.orders.is_draining = offer.is_draining
        self.changed.set()

    async def _adopt(self, offer: WorkerOffer, port: WorkerPort) -> bool:
        try:
            if not self.term:
                # A worker that has seen a leader's term refuses calls with a lower one.
                self.term = max(await read_leader_term(self.control), self.term)
            view = await port.observe(self.term, 0, 0.0, 0.0)
        except (WorkerUnansweredError, WorkerReplacedError, ControlUnavailableError) as error:
            kind = f"{offer.worker_id}: {type(error).__name__}"
            self.not_adopted.record_failure(kind, worker=offer.worker_id, reason=str(error))
            return False
        self.not_adopted.record_end()
        if self.offer is not None:
            if self.offer.worker_id == offer.worker_id:
                return True
            self.former_workers.add(self.offer.worker_id)
            self._drop_worker()
        self._begin(offer, port, view)
        return True

    def _begin(self, offer: WorkerOffer, port: WorkerPort, view: WorkerView) -> None:
        self.port = port
        self.table = RunTable()
        self.table.apply_view(view, 0.0)
        self.lease = WorkerLease()
        self.orders = RunOrders(
            port,
            self.table,
            self.lease,
            self.answers,
            on_change=self.changed.set,
            on_worker_activity=self.work.set,
            on_replaced=self._worker_replaced,
        )
        self.orders.token = self.term
        self._update_offer(offer)
        log.info("worker adopted", worker=offer.worker_id, runs=len(view.running))
        self.work.set()

    def _drop_worker(self) -> None:
        if self.offer is not None:
            self.ended_worker_id = self.offer.worker_id
        orders, self.orders = self.orders, None
        self.offer = None
        self.port = None
        self.table = RunTable()
        if orders is not None:
            orders.cancel()
        self.changed.set()

    def _worker_replaced(self, port: WorkerPort) -> None:
        if self.port is port:
            self.former_workers.add(port.worker_id)
            log.info("worker replaced", worker=port.worker_id)
            self._drop_worker()

    async def _sync_again_and_again(self) -> None:
        while True:
            if self.offer is None and not self.ended_worker_id:
                await self.changed.wait()
            await asyncio.sleep(GATHER_S)
            self.changed.clear()
            if self.offer is None and not self.ended_worker_id:
                continue
            self.sequence += 1
            sync = asyncio.create_task(self._sync(self.sequence, self.offer))
            self.syncs.add(sync)
            sync.add_done_callback(self.syncs.discard)
            news = asyncio.create_task(self.changed.wait())
            await asyncio.wait((sync, news), return_when=asyncio.FIRST_COMPLETED)
            news.cancel()

    async def _sync(self, sequence: int, offer: WorkerOffer | None) -> None:
        port = self.port
        ended_worker_id = self.ended_worker_id
        call = SyncWorker(
            agent_id=self.agent_id,
            agent_incarnation=self.incarnation,
            sequence=sequence,
            offer=offer,
            ended_worker_id=ended_worker_id,
            runs=tuple(held.report() for held in self.table.runs.values()),
            ends=self.table.reported_ends(),
            wait_s=SYNC_WAIT_S if self.is_in_step else 0.0,
        )
        asked_s = port.clock_s() if port else 0.0
        try:
            reply = await self.control.call(call, SYNC_TIMEOUT_S, SYNC_ATTEMPT_S)
        except ControlUnavailableError as error:
            if self.is_in_step:
                log.warning(
                    "control lost", reason=str(error), lease_until_s=self.lease.granted_end_s
                )
            self.is_in_step = False
            await asyncio.sleep(SYNC_RETRY_S)
            return
        if ended_worker_id == self.ended_worker_id:
            self.ended_worker_id = ""
        if port is not None and self.port is port and sequence > self.answered_sequence:
            await self._take_reply(sequence, reply, asked_s)

    async def _take_reply(self, sequence: int, reply: MessageStruct, asked_s: float) -> None:
        orders = self.orders
        if orders is None or not isinstance(reply, WorkerOrders):
            self.is_in_step = False
            self.without_orders.record_failure(type(reply).__name__, reply=str(reply))
            await asyncio.sleep(SYNC_RETRY_S)
            return
        self.without_orders.record_end()
        if reply.term < self.term or reply.worker_id != orders.port.worker_id:
            return
        if not self.is_in_step:
            log.info("control regained", term=reply.term, leader=self.control.leader_name)
        self.is_in_step = True
        self.answered_sequence = sequence
        self.term = reply.term
        orders.token = reply.term
        self.lease.grant(asked_s, reply.lease_s)
        orders.apply(reply)

    async def _observe_again_and_again(self) -> None:
        while True:
            orders = self.orders
            if orders is None or self.table.is_idle:
                self.work.clear()
                await self.work.wait()
                continue
            await self._observe(orders)

    async def _observe(self, orders: RunOrders) -> None:
        port, table = orders.port, orders.table
        asked_s = asyncio.get_running_loop().time()
        has_unnoted = bool(table.ends)
        is_settling = any(held.phase is RunPhase.STOPPING for held in table.runs.values())
        wait_s = OBSERVE_PAUSE_S if has_unnoted or is_settling else OBSERVE_WAIT_S
        try:
            view = await port.observe(
                self.term, table.committed_end_number, self.lease.end_to_send(), wait_s
            )
        except WorkerUnansweredError as error:
            self._worker_unanswered(orders, str(error))
            await asyncio.sleep(OBSERVE_RETRY_S)
            return
        except WorkerReplacedError:
            self._worker_replaced(port)
            return
        if orders is not self.orders:
            return
        self.unanswered.record_end()
        self.lease.record_contact()
        has_news, unsettled = table.apply_view(view, asked_s)
        for held in unsettled:
            if held.phase is RunPhase.RUNNING:
                orders.begin_stop(held)
        if has_news:
            self.changed.set()
        if has_unnoted or has_news or is_settling:
            await asyncio.sleep(OBSERVE_PAUSE_S)

    def _worker_unanswered(self, orders: RunOrders, reason: str) -> None:
        """Gives the worker up once every lease that it may have got is over."""
        worker_id = orders.port.worker_id
        self.unanswered.record_failure(worker_id, worker=worker_id, reason=reason)
        if orders is self.orders and orders.port.clock_s() > self.lease.sent_end_s:
            self.unanswered.record_end()
            log.info("worker given up", worker=orders.port.worker_id, lease_s=self.lease.sent_end_s)
            self._drop_worker()
