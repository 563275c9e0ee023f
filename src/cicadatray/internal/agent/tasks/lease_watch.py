"""Ends the runs on a worker whose lease control may count as expired."""

import asyncio
from typing import TYPE_CHECKING

import structlog

from cicadatray.internal.agent.tasks.order_executor import OrderExecutor
from cicadatray.internal.agent.tasks.run_entry import RunPhase

if TYPE_CHECKING:
    from cicadatray.internal.agent.tasks.task_agent import TaskAgent

# The worker's clock is estimated anew this often; `LONGEST_STEP_S` is above it.
WATCH_INTERVAL_S = 0.25
# A longer delay of the watch is logged as a pause of the process.
PAUSE_S = 0.5

log = structlog.get_logger(__name__)


class LeaseWatch:
    """Compares the lease that control granted with the one on the worker's clock.

    The worker ends its runs itself when the lease has expired on its own clock. That clock stands
    still while the machine is suspended, but control's does not, so the agent has to end the runs
    if its lease has expired while the worker's may not have.
    """

    __slots__ = ("agent",)

    def __init__(self, agent: "TaskAgent") -> None:
        self.agent = agent

    async def run(self) -> None:
        """Runs until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            before_s = loop.time()
            await asyncio.sleep(WATCH_INTERVAL_S)
            paused_s = loop.time() - before_s - WATCH_INTERVAL_S
            if paused_s >= PAUSE_S:
                self._record_pause(paused_s)
            executor = self.agent.executor
            if executor is not None:
                self._check(executor)

    def _record_pause(self, paused_s: float) -> None:
        agent = self.agent
        agent.pauses.increment()
        log.warning(
            "process paused",
            paused_s=round(paused_s, 2),
            worker=agent.offer.worker_id if agent.offer is not None else "",
            lease_remaining_s=round(agent.lease.remaining_s(), 2),
            runs=len(agent.table.runs),
        )

    def _check(self, executor: OrderExecutor) -> None:
        """Stops all runs that may have begun, if only the worker's lease may still last."""
        lease = self.agent.lease
        clock_s = executor.port.clock_s()
        if not lease.is_overdue() or lease.has_expired(clock_s):
            return
        for entry in list(executor.table.runs.values()):
            if entry.phase is RunPhase.STOPPING or not entry.may_have_begun:
                continue
            log.warning(
                "run stopped after its lease",
                run=str(entry.run.task),
                number=entry.run.run,
                worker=executor.port.worker_id,
                overdue_s=round(-lease.remaining_s(), 2) if lease.granted_until_s else None,
                worker_lease_s=round(lease.sent_end_s - clock_s, 2),
            )
            executor.begin_stop(entry)
