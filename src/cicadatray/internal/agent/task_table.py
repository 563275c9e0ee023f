"""The tasks of gangs on the agent's worker."""

import asyncio
from collections import OrderedDict

import structlog

from cicadatray.internal.agent.errors import WorkerFailedError
from cicadatray.internal.agent.task_entry import (
    FAILED,
    FINISHED,
    PREPARED,
    RUNNING,
    STOPPED,
    TaskEntry,
)
from cicadatray.internal.agent.tasks.start_permission import StartPermission
from cicadatray.internal.agent.worker_client import ReserveOrder, WorkerClient, WorkerTask
from cicadatray.internal.observability.repeated_event import RepeatedEvent
from cicadatray.internal.wire.message import MessageStruct
from cicadatray.internal.wire.messages.directory_messages import AnnounceReply, TaskReport
from cicadatray.internal.wire.messages.task_messages import (
    CheckpointTask,
    PrepareTask,
    StartTask,
    StopTask,
    TaskAccepted,
    TaskRefused,
)

MAX_STOPPED_EPOCHS = 10_000
STALE_TERM_CODE = "stale_term"
STALE_EPOCH_CODE = "stale_epoch"
NO_LEASE_CODE = "no_lease"
NO_PERMISSION_CODE = "no_start_permission"
DRAINING_CODE = "draining"
WORKER_FAILED_CODE = "worker_failed"

TaskOrderMessage = PrepareTask | StartTask | CheckpointTask | StopTask

log = structlog.get_logger(__name__)


class TaskTable:
    """Carries out orders of control; refuses those of stopped gangs and those without a lease.

    `lease_until_s` is event loop time, `lease_term` the highest leader term in a reply. Tasks are
    started only while `permission` holds. `changed` is set when reports must be announced at once.
    `stopped_epochs` holds the highest stopped epoch of each job. `unlisted` records listings of the
    worker that failed.
    """

    __slots__ = (
        "changed",
        "draining",
        "lease_term",
        "lease_until_s",
        "lock",
        "permission",
        "stopped_epochs",
        "tasks",
        "unlisted",
        "worker",
    )

    def __init__(self, worker: WorkerClient) -> None:
        self.worker = worker
        self.tasks: dict[str, TaskEntry] = {}
        self.stopped_epochs: OrderedDict[str, int] = OrderedDict()
        self.lease_term = 0
        self.lease_until_s = 0.0
        self.permission = StartPermission()
        self.draining = False
        self.changed = asyncio.Event()
        self.lock = asyncio.Lock()
        self.unlisted = RepeatedEvent("tasks not listed")

    def reports(self) -> tuple[TaskReport, ...]:
        """Returns the reports of all tasks for an announcement."""
        return tuple(entry.report() for entry in self.tasks.values())

    async def handle(self, order: TaskOrderMessage) -> MessageStruct:
        """Carries out an order; orders are processed one at a time."""
        try:
            async with self.lock:
                return await self._execute(order)
        except WorkerFailedError as error:
            log.warning("worker failed", reason=str(error))
            return TaskRefused(code=WORKER_FAILED_CODE, detail=str(error))

    async def clear_worker(self) -> None:
        """Stops the tasks that an earlier process of this agent left on the worker."""
        for task in await self.worker.list_tasks():
            await self.worker.stop(task.task_id, task.epoch)

    async def apply_reply(
        self, reported: tuple[TaskReport, ...], reply: AnnounceReply, sent_at_s: float
    ) -> None:
        """Applies the reply to an announcement of `reported` that was sent at `sent_at_s`.

        Renews the tasks that the leader continues and stops the others; tasks that were prepared
        after the announcement keep the lease of their reservation. `sent_at_s` is event loop time.
        """
        if reply.term < self.lease_term:
            return
        self.lease_term = reply.term
        self.lease_until_s = max(self.lease_until_s, sent_at_s + reply.lease_s)
        self.permission.renew(sent_at_s, reply.start_permission_s)
        continuing = {(task.job_id, task.epoch) for task in reply.continuing}
        async with self.lock:
            for report in reported:
                entry = self.tasks.get(report.job_id)
                if entry is None or entry.epoch != report.epoch:
                    continue
                if (report.job_id, report.epoch) in continuing:
                    await self._renew_task(entry)
                else:
                    await self._discontinue(entry)

    async def _renew_task(self, entry: TaskEntry) -> None:
        if entry.state not in (PREPARED, RUNNING):
            return
        try:
            await self.worker.renew(entry.job_id, entry.epoch, self.lease_until_s)
        except WorkerFailedError as error:
            log.warning("lease not renewed", job_id=entry.job_id, reason=str(error))

    async def _discontinue(self, entry: TaskEntry) -> None:
        """Stops a task that must not continue without a lease, and refuses late orders for it."""
        log.info("stopping discontinued task", job_id=entry.job_id, epoch=entry.epoch)
        self._record_stopped_epoch(entry.job_id, entry.epoch)
        try:
            await self.worker.stop(entry.job_id, entry.epoch)
        except WorkerFailedError as error:
            # The worker stops the task by itself: its lease never ends after that of the agent.
            log.warning("task not stopped", job_id=entry.job_id, reason=str(error))
        self.tasks.pop(entry.job_id, None)

    async def refresh(self) -> None:
        """Updates tasks to the states on the worker, and stops all when the lease has expired."""
        if self.tasks and self._remaining_lease_s() <= 0:
            await self._stop_all()
        # A task that is reserved during the call may be missing from the list.
        listed_entries = list(self.tasks.values())
        if not listed_entries:
            return
        try:
            listed = {task.task_id: task for task in await self.worker.list_tasks()}
        except WorkerFailedError as error:
            self.unlisted.record_failure(type(error).__name__, reason=str(error))
            return
        self.unlisted.record_end()
        for entry in listed_entries:
            if self.tasks.get(entry.job_id) is entry:
                self._apply_worker_state(entry, listed.get(entry.job_id))

    def _apply_worker_state(self, entry: TaskEntry, task: WorkerTask | None) -> None:
        if task is None or task.epoch != entry.epoch or task.state == STOPPED:
            if entry.state in (PREPARED, RUNNING):
                log.info("task no longer on the worker", job_id=entry.job_id, epoch=entry.epoch)
                del self.tasks[entry.job_id]
                self.changed.set()
            return
        entry.run_s = task.run_s
        if task.state in (FINISHED, FAILED) and entry.state == RUNNING:
            entry.state = task.state
            self.changed.set()

    async def _execute(self, order: TaskOrderMessage) -> MessageStruct:
        if order.term < self.lease_term:
            return TaskRefused(code=STALE_TERM_CODE, detail=f"term {self.lease_term} has begun")
        if isinstance(order, PrepareTask):
            return await self._prepare(order)
        if isinstance(order, StartTask):
            return await self._start(order)
        if isinstance(order, CheckpointTask):
            return await self._checkpoint(order)
        return await self._stop(order)

    async def _prepare(self, order: PrepareTask) -> MessageStruct:
        if order.epoch <= self.stopped_epochs.get(order.job_id, 0):
            return TaskRefused(code=STALE_EPOCH_CODE, detail="the gang was stopped")
        if self.draining:
            return TaskRefused(code=DRAINING_CODE, detail="the agent is stopping")
        if self._remaining_lease_s() <= 0:
            return TaskRefused(code=NO_LEASE_CODE, detail="the agent holds no lease")
        current = self.tasks.get(order.job_id)
        if current is not None and current.epoch > order.epoch:
            return TaskRefused(code=STALE_EPOCH_CODE, detail=f"the task has epoch {current.epoch}")
        if current is None or current.epoch < order.epoch:
            reservation = ReserveOrder(
                order.epoch, order.accelerators, self.lease_until_s, order.payload
            )
            await self.worker.reserve(order.job_id, reservation)
            entry = TaskEntry(order.job_id, order.epoch, order.accelerators)
            self.tasks[order.job_id] = entry
        return TaskAccepted()

    async def _start(self, order: StartTask) -> MessageStruct:
        entry = self.tasks.get(order.job_id)
        if entry is None or entry.epoch != order.epoch:
            return TaskRefused(code=STALE_EPOCH_CODE, detail="no such prepared task")
        if self._remaining_lease_s() <= 0:
            return TaskRefused(code=NO_LEASE_CODE, detail="the agent holds no lease")
        if entry.state == PREPARED:
            if not self.permission.holds():
                detail = "control has not renewed the permission to start"
                log.info("start withheld", run=order.job_id, reason=detail)
                return TaskRefused(code=NO_PERMISSION_CODE, detail=detail)
            await self.worker.start(order.job_id, order.epoch)
            entry.state = RUNNING
        return TaskAccepted()

    async def _checkpoint(self, order: CheckpointTask) -> MessageStruct:
        entry = self.tasks.get(order.job_id)
        if entry is None or entry.epoch != order.epoch:
            return TaskRefused(code=STALE_EPOCH_CODE, detail="no such task")
        await self.worker.checkpoint(order.job_id, order.epoch)
        return TaskAccepted()

    async def _stop(self, order: StopTask) -> MessageStruct:
        self._record_stopped_epoch(order.job_id, order.epoch)
        # An unknown task is stopped too: the worker may still run one that this agent has dropped.
        await self.worker.stop(order.job_id, order.epoch)
        entry = self.tasks.get(order.job_id)
        if entry is not None and entry.epoch <= order.epoch:
            del self.tasks[order.job_id]
        return TaskAccepted()

    async def _stop_all(self) -> None:
        log.warning("lease expired, stopping all tasks", tasks=len(self.tasks))
        async with self.lock:
            for entry in list(self.tasks.values()):
                await self._discontinue(entry)
        self.changed.set()

    def _record_stopped_epoch(self, job_id: str, epoch: int) -> None:
        self.stopped_epochs[job_id] = max(epoch, self.stopped_epochs.get(job_id, 0))
        self.stopped_epochs.move_to_end(job_id)
        while len(self.stopped_epochs) > MAX_STOPPED_EPOCHS:
            self.stopped_epochs.popitem(last=False)

    def _remaining_lease_s(self) -> float:
        return self.lease_until_s - asyncio.get_running_loop().time()
