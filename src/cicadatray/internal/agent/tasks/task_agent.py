"""Keeps one worker in the state that control orders."""

import asyncio
from uuid import uuid4

import structlog

from cicadatray.internal.agent.tasks.errors import WorkerReplacedError, WorkerUnansweredError
from cicadatray.internal.agent.tasks.held_run import HeldRun, RunPhase
from cicadatray.internal.agent.tasks.run_table import RunTable
from cicadatray.internal.agent.tasks.worker_clock import SLOWEST_RATE
from cicadatray.internal.agent.tasks.worker_port import StartAnswer, WorkerPort
from cicadatray.internal.observability.graph_metrics import worker_orders
from cicadatray.internal.observability.metrics_registry import MetricsRegistry
from cicadatray.internal.wire.control_client import ControlClient, ControlUnavailableError
from cicadatray.internal.wire.message import Failure, MessageStruct
from cicadatray.internal.wire.messages.graph_messages import (
    MembersReply,
    ReadMembers,
    RunOrder,
    SyncWorker,
    WorkerOffer,
    WorkerOrders,
)

# A call to control waits this long for news, so that the worker's lease is renewed in time.
SYNC_WAIT_S = 0.5
# A leader that does not answer within its wait and this much more is frozen or cut off.
SYNC_ATTEMPT_S = 1.2
SYNC_TIMEOUT_S = 3.0
# An announcement must be answered within a second.
LEARN_TERM_TIMEOUT_S = 0.6
# Pause after control has refused or not answered.
SYNC_RETRY_S = 0.2
# News that arrives within this time goes into one call.
GATHER_S = 0.005
# The worker answers earlier when something ends; the lease must be extended in between.
OBSERVE_WAIT_S = 0.5
# Pause before a worker is asked again that did not answer or has nothing new.
ORDER_RETRY_S = 0.2
OBSERVE_PAUSE_S = 0.05
# A worker that neither announces itself nor answers for this long gets no longer lease: two of its
# announcements are missing.
SILENT_WORKER_S = 3.0

log = structlog.get_logger(__name__)


class TaskAgent:
    """One task talks to control, one observes the worker, and one drives each order in progress.

    `lease_until_s` is on the worker's clock. It is computed from the moment at which the call was
    sent that control answered, so it ends before control takes the worker for lost.
    """

    __slots__ = (
        "agent_id",
        "answers",
        "answered_sequence",
        "changed",
        "control",
        "former_workers",
        "gone_worker_id",
        "heard_s",
        "is_in_step",
        "lease_until_s",
        "life",
        "offer",
        "orders",
        "port",
        "sent_until_s",
        "sequence",
        "syncs",
        "table",
        "term",
        "work",
    )

    def __init__(
        self, agent_id: str, control: ControlClient, metrics: MetricsRegistry | None = None
    ) -> None:
        self.answers = worker_orders(metrics or MetricsRegistry())
        self.agent_id = agent_id
        self.life = uuid4().hex
        self.gone_worker_id = ""
        self.heard_s = 0.0
        self.sent_until_s = 0.0
        self.control = control
        self.offer: WorkerOffer | None = None
        self.port: WorkerPort | None = None
        self.table = RunTable()
        self.former_workers: set[str] = set()
        self.term = 0
        self.lease_until_s = 0.0
        self.sequence = 0
        self.answered_sequence = 0
        self.is_in_step = False
        self.changed = asyncio.Event()
        self.work = asyncio.Event()
        self.orders: set[asyncio.Task[None]] = set()
        self.syncs: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Runs until cancelled."""
        try:
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._sync_again_and_again())
                tasks.create_task(self._observe_again_and_again())
        finally:
            for task in (*self.orders, *self.syncs):
                task.cancel()

    async def offer_worker(self, offer: WorkerOffer, port: WorkerPort) -> bool:
        """Takes what a worker says of itself; returns False for one that is gone.

        A message of a former incarnation may arrive late, so a new one must answer first.
        """
        if offer.worker_id in self.former_workers:
            return False
        self.heard_s = asyncio.get_running_loop().time()
        if self.offer is None or self.offer.worker_id != offer.worker_id:
            return await self._adopt(offer, port)
        if offer != self.offer:
            if offer.is_draining and not self.offer.is_draining:
                log.info("worker drains", worker=offer.worker_id, remaining_s=offer.remaining_s)
            self.offer = offer
            self.changed.set()
        return True

    async def withdraw_worker(self, worker_id: str) -> None:
        """Forgets a worker that has said that it ends."""
        if self.offer is not None and self.offer.worker_id == worker_id:
            log.info("worker withdrew", worker=worker_id)
            self.former_workers.add(worker_id)
            self._drop_worker()

    async def _adopt(self, offer: WorkerOffer, port: WorkerPort) -> bool:
        try:
            await self._learn_term()
            view = await port.observe(self.term, 0, 0.0, 0.0)
        except (WorkerUnansweredError, WorkerReplacedError, ControlUnavailableError) as error:
            log.info("worker not adopted", worker=offer.worker_id, reason=str(error))
            return False
        if self.offer is not None:
            if self.offer.worker_id == offer.worker_id:
                return True
            self.former_workers.add(self.offer.worker_id)
            self._drop_worker()
        self.offer = offer
        self.port = port
        self.table = RunTable()
        self.table.take_view(view, 0.0)
        log.info(
            "worker adopted",
            worker=offer.worker_id,
            runs=len(view.running),
            ends=len(view.ended),
        )
        self.changed.set()
        self.work.set()
        return True

    async def _learn_term(self) -> None:
        """A worker that has seen a leader's term refuses calls with a lower one.

        Raises:
            ControlUnavailableError: no leader answered.
        """
        if self.term:
            return
        reply = await self.control.call(ReadMembers(), LEARN_TERM_TIMEOUT_S)
        if isinstance(reply, MembersReply):
            self.term = max(self.term, reply.term)

    def _drop_worker(self) -> None:
        if self.offer is not None:
            self.gone_worker_id = self.offer.worker_id
        self.offer = None
        self.port = None
        self.table = RunTable()
        self.lease_until_s = 0.0
        self.sent_until_s = 0.0
        for task in self.orders:
            task.cancel()
        self.changed.set()

    async def _sync_again_and_again(self) -> None:
        while True:
            if self.offer is None and not self.gone_worker_id:
                await self.changed.wait()
            await asyncio.sleep(GATHER_S)
            self.changed.clear()
            if self.offer is None and not self.gone_worker_id:
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
        gone_worker_id = self.gone_worker_id
        call = SyncWorker(
            agent_id=self.agent_id,
            life=self.life,
            sequence=sequence,
            offer=offer,
            gone_worker_id=gone_worker_id,
            runs=tuple(held.report() for held in self.table.held.values()),
            ends=self.table.reported_ends(),
            wait_s=SYNC_WAIT_S if self.is_in_step else 0.0,
        )
        sent_s = port.clock_s() if port else 0.0
        try:
            reply = await self.control.call(call, SYNC_TIMEOUT_S, SYNC_ATTEMPT_S)
        except ControlUnavailableError as error:
            if self.is_in_step:
                log.warning("control lost", reason=str(error), lease_until_s=self.lease_until_s)
            self.is_in_step = False
            await asyncio.sleep(SYNC_RETRY_S)
            return
        if gone_worker_id == self.gone_worker_id:
            self.gone_worker_id = ""
        if port is not None and self.port is port and sequence > self.answered_sequence:
            await self._take_reply(sequence, reply, sent_s)

    async def _take_reply(self, sequence: int, reply: MessageStruct, sent_s: float) -> None:
        if isinstance(reply, Failure) or not isinstance(reply, WorkerOrders):
            self.is_in_step = False
            log.info("control gave no orders", reply=str(reply))
            await asyncio.sleep(SYNC_RETRY_S)
            return
        if reply.term < self.term or (self.offer and reply.worker_id != self.offer.worker_id):
            return
        if not self.is_in_step:
            log.info("control regained", term=reply.term, leader=self.control.leader_name)
        self.is_in_step = True
        self.answered_sequence = sequence
        self.term = reply.term
        if sent_s:
            lease_until_s = sent_s + reply.lease_s * SLOWEST_RATE
            self.lease_until_s = max(self.lease_until_s, lease_until_s)
        self._take_orders(reply)

    def _take_orders(self, orders: WorkerOrders) -> None:
        self.table.note(orders.ends_noted, orders.cleared_noted)
        for run in orders.stops:
            held = self.table.held.get(run)
            if held is None and run not in self.table.finished:
                # An earlier life of this agent may have ordered it.
                held = HeldRun(run, None, RunPhase.RUNNING)
                self.table.held[run] = held
            if held is not None and held.phase is not RunPhase.STOPPING:
                self._begin_stop(held)
        for order in orders.starts:
            started = self.table.begin(order)
            if started is not None:
                self._spawn(self._start(started, order))
        self.work.set()

    def _begin_stop(self, held: HeldRun) -> None:
        held.phase = RunPhase.STOPPING
        held.settled_s = 0.0
        self._spawn(self._stop(held))

    def _spawn(self, coroutine: "asyncio._CoroutineLike[None]") -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self.orders.add(task)
        task.add_done_callback(self.orders.discard)

    async def _start(self, held: HeldRun, order: RunOrder) -> None:
        """Orders the run until the worker answers, or control wants it stopped."""
        port = self.port
        loop = asyncio.get_running_loop()
        while port is not None and held.phase is RunPhase.STARTING:
            if self.offer is None or self.offer.is_draining:
                self._give_up(held, "worker drains")
                return
            try:
                answer = await port.start(order, self.term, self._lease_to_send())
            except WorkerUnansweredError as error:
                held.is_in_doubt = True
                log.info("start unanswered", run=str(order.run.task), reason=str(error))
                await asyncio.sleep(ORDER_RETRY_S)
                continue
            except WorkerReplacedError:
                self._worker_replaced(port)
                return
            held.settled_s = loop.time()
            self.answers.increment(answer=answer.value)
            if answer is StartAnswer.ACCEPTED:
                if held.phase is RunPhase.STARTING:
                    held.phase = RunPhase.RUNNING
                self.work.set()
                return
            if answer is StartAnswer.LEASE_OVER:
                await asyncio.sleep(ORDER_RETRY_S)
                continue
            self._give_up(held, answer.value)
            return

    def _give_up(self, held: HeldRun, reason: str) -> None:
        log.info("start refused", run=str(held.run.task), number=held.run.run, reason=reason)
        if held.is_in_doubt:
            self._begin_stop(held)
        elif held.phase is RunPhase.STARTING:
            self.table.clear(held)
            self.changed.set()

    async def _stop(self, held: HeldRun) -> None:
        """Stops the run until the worker answers; its end is listed later."""
        port = self.port
        while port is not None and held.run in self.table.held:
            try:
                await port.stop(held.run, self.term)
            except WorkerUnansweredError as error:
                log.info("stop unanswered", run=str(held.run.task), reason=str(error))
                await asyncio.sleep(ORDER_RETRY_S)
                continue
            except WorkerReplacedError:
                self._worker_replaced(port)
                return
            held.settled_s = asyncio.get_running_loop().time()
            self.work.set()
            return

    def _lease_to_send(self) -> float:
        """Returns the lease for an order, no longer extended while the worker does not answer.

        A call without an answer may still be carried out, so a lease that was sent counts.
        """
        silence_s = asyncio.get_running_loop().time() - self.heard_s
        if silence_s < SILENT_WORKER_S:
            self.sent_until_s = max(self.sent_until_s, self.lease_until_s)
        return self.sent_until_s

    def _worker_replaced(self, port: WorkerPort) -> None:
        if self.port is port:
            self.former_workers.add(port.worker_id)
            log.info("worker replaced", worker=port.worker_id)
            self._drop_worker()

    async def _observe_again_and_again(self) -> None:
        while True:
            port = self.port
            if port is None or self.table.is_idle:
                self.work.clear()
                await self.work.wait()
                continue
            await self._observe(port)

    async def _observe(self, port: WorkerPort) -> None:
        table = self.table
        asked_s = asyncio.get_running_loop().time()
        has_unnoted = bool(table.ends)
        is_settling = any(held.phase is RunPhase.STOPPING for held in table.held.values())
        wait_s = OBSERVE_PAUSE_S if has_unnoted or is_settling else OBSERVE_WAIT_S
        try:
            view = await port.observe(self.term, table.noted, self._lease_to_send(), wait_s)
        except WorkerUnansweredError as error:
            log.info("worker unanswered", worker=port.worker_id, reason=str(error))
            if port is self.port and port.clock_s() > self.sent_until_s:
                log.info("worker given up", worker=port.worker_id, lease_until_s=self.sent_until_s)
                self._drop_worker()
            await asyncio.sleep(ORDER_RETRY_S)
            return
        except WorkerReplacedError:
            self._worker_replaced(port)
            return
        if table is not self.table:
            return
        self.heard_s = asyncio.get_running_loop().time()
        has_news, unsettled = table.take_view(view, asked_s)
        for held in unsettled:
            if held.phase is RunPhase.RUNNING:
                self._begin_stop(held)
        if has_news:
            self.changed.set()
        if has_unnoted or has_news or is_settling:
            await asyncio.sleep(OBSERVE_PAUSE_S)
