"""Observes the worker of an agent."""

import asyncio
from typing import TYPE_CHECKING

import structlog

from cicadatray.internal.agent.tasks.errors import (
    WorkerReplacedError,
    WorkerUnansweredError,
    WorkerUnreachableError,
)
from cicadatray.internal.agent.tasks.order_executor import OrderExecutor
from cicadatray.internal.agent.tasks.run_entry import RunPhase
from cicadatray.internal.agent.tasks.unexpected_errors import UnexpectedErrors
from cicadatray.internal.agent.tasks.worker_port import WorkerView
from cicadatray.scheduling.taskgraphs.worker_end import WorkerEnd

if TYPE_CHECKING:
    from cicadatray.internal.agent.tasks.task_agent import TaskAgent

# The worker answers earlier when a run ends. Its lease has to be extended in the meantime.
OBSERVE_WAIT_S = 0.5
OBSERVE_RETRY_S = 0.2
OBSERVE_PAUSE_S = 0.05

log = structlog.get_logger(__name__)


class WorkerObserver:
    """Reads the lists of the agent's worker and extends its lease while it has runs or ends."""

    __slots__ = ("agent", "failures")

    def __init__(self, agent: "TaskAgent") -> None:
        self.agent = agent
        self.failures = UnexpectedErrors("observation failed")

    async def run(self) -> None:
        """Runs until cancelled."""
        agent = self.agent
        while True:
            executor = agent.executor
            if executor is None or agent.table.is_idle:
                agent.work_available.clear()
                await agent.work_available.wait()
                continue
            failure = await self.failures.guard(self._observe(executor), OBSERVE_RETRY_S)
            if failure is not None:
                self._handle_unanswered(executor, WorkerUnansweredError(repr(failure)))

    async def _observe(self, executor: OrderExecutor) -> None:
        agent = self.agent
        port, table = executor.port, executor.table
        asked_s = asyncio.get_running_loop().time()
        acknowledged = table.committed_end_number
        is_settling = table.is_settling
        wait_s = OBSERVE_PAUSE_S if is_settling else OBSERVE_WAIT_S
        try:
            lease_end_s = agent.lease.end_to_send(port.clock_s())
            view = await port.observe(agent.term, acknowledged, lease_end_s, wait_s)
        except WorkerUnansweredError as error:
            self._handle_unanswered(executor, error)
            await asyncio.sleep(OBSERVE_RETRY_S)
            return
        except WorkerReplacedError:
            agent.replace_worker(port)
            return
        if executor is not agent.executor:
            return
        agent.unanswered.record_end()
        agent.lease.record_contact()
        agent.set_reachable(True)
        self._record_completeness(executor, view)
        received_s = asyncio.get_running_loop().time()
        has_ended, missing = table.apply_view(view, asked_s, received_s)
        table.record_acknowledged(acknowledged, view)
        for entry in missing:
            if entry.phase is not RunPhase.STOPPING:
                executor.begin_stop(entry)
        for entry in table.find_unstopped(view, asked_s):
            log.warning("stop repeated", run=str(entry.run.task), number=entry.run.run)
            executor.begin_stop(entry)
        if has_ended:
            agent.changed.set()
        if has_ended or is_settling:
            await asyncio.sleep(OBSERVE_PAUSE_S)

    def _record_completeness(self, executor: OrderExecutor, view: WorkerView) -> None:
        """Logs and counts answers that show no run as absent, because ends may be missing."""
        agent = self.agent
        if view.is_complete:
            agent.unlisted_ends.record_end()
            return
        agent.partial_views.increment()
        worker_id = executor.port.worker_id
        agent.unlisted_ends.record_failure(
            worker_id,
            worker=worker_id,
            ends_listed=len(view.ended),
            committed=executor.table.committed_end_number,
            runs_unsettled=len(executor.table.runs),
        )

    def _handle_unanswered(self, executor: OrderExecutor, error: WorkerUnansweredError) -> None:
        """Drops the worker once every lease that it may have received has expired."""
        agent = self.agent
        worker_id = executor.port.worker_id
        agent.unanswered.record_failure(worker_id, worker=worker_id, reason=str(error))
        if executor is not agent.executor:
            return
        # A worker that is only cut off does not refuse connections.
        has_crashed = isinstance(error, WorkerUnreachableError)
        if has_crashed:
            agent.set_reachable(False)
        if agent.lease.has_expired(executor.port.clock_s()):
            agent.unanswered.record_end()
            cause = WorkerEnd.CRASHED if has_crashed else WorkerEnd.SILENT
            log.info(
                "worker given up",
                worker=worker_id,
                lease_s=agent.lease.sent_end_s,
                cause=cause.value,
            )
            agent.drop_worker(cause)
