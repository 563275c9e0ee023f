"""Tests of the agent's announcements and of the leases that their replies grant."""

import asyncio
from typing import Any

import pytest

from cicadatray.internal.agent.announcer import Announcer
from cicadatray.internal.agent.task_table import TaskTable
from cicadatray.internal.agent.worker_client import ReserveOrder, WorkerTask
from cicadatray.internal.bench.virtual_time_loop import run_virtual
from cicadatray.internal.control.leases import CLOCK_DRIFT_MARGIN_S, LEASE_S
from cicadatray.internal.wire.message import MessageStruct
from cicadatray.internal.wire.messages.directory_messages import (
    AgentRecord,
    Announce,
    AnnounceReply,
    LeaseRenewed,
    RenewLease,
    TaskReference,
)
from cicadatray.internal.wire.messages.task_messages import PrepareTask, StartTask

JOB = "job-1"
SETTLE_S = 3.0


class LeasedWorker:
    """A worker that ends its task with the lease and accepts renewals of ended tasks."""

    __slots__ = ("lease_until_s", "state")

    def __init__(self) -> None:
        self.lease_until_s = 0.0
        self.state = ""

    async def reserve(self, task_id: str, order: ReserveOrder) -> None:
        self.lease_until_s = order.lease_until_s
        self.state = "prepared"

    async def start(self, task_id: str, epoch: int) -> None:
        self.state = "running"

    async def renew(self, task_id: str, epoch: int, lease_until_s: float) -> None:
        self._update()
        self.lease_until_s = lease_until_s

    async def stop(self, task_id: str, epoch: int) -> None:
        self.state = "stopped"

    async def list_tasks(self) -> tuple[WorkerTask, ...]:
        self._update()
        return (WorkerTask(JOB, 1, self.state, 0.0),) if self.state else ()

    def _update(self) -> None:
        now_s = asyncio.get_running_loop().time()
        if now_s > self.lease_until_s + CLOCK_DRIFT_MARGIN_S - 0.1:
            self.state = "stopped"


class LateControl:
    """A control leader that continues every reported task; `delays_s` delay its next replies."""

    __slots__ = ("delays_s", "reported")

    def __init__(self) -> None:
        self.delays_s: list[float] = []
        self.reported: tuple[str, ...] = ()

    async def call(self, message: MessageStruct, timeout_s: float) -> MessageStruct:
        await asyncio.sleep(self.delays_s.pop(0) if self.delays_s else 0.0)
        if isinstance(message, RenewLease):
            return LeaseRenewed()
        assert isinstance(message, Announce)
        self.reported = tuple(task.job_id for task in message.tasks)
        continuing = tuple(TaskReference(task.job_id, task.epoch) for task in message.tasks)
        return AnnounceReply(lease_s=LEASE_S, term=1, session=1, continuing=continuing)


@pytest.mark.parametrize(
    ("delays_s", "is_running"),
    [
        pytest.param([LEASE_S - 2.0], True, id="within the lease"),
        pytest.param([LEASE_S - 2.0, 2.0], False, id="second reply after the end of the lease"),
        pytest.param([LEASE_S], False, id="reply after its own lease"),
        pytest.param([2 * LEASE_S], False, id="reply long after its own lease"),
    ],
)
def test_late_reply_does_not_renew_a_task_that_has_ended(
    delays_s: list[float], is_running: bool
) -> None:
    """Guards against a gang that control and agent keep although its task ended with the lease.

    The agent did not look at its tasks while it waited for a reply, and then renewed them.
    """

    async def main() -> None:
        control: Any = LateControl()
        worker: Any = LeasedWorker()
        table = TaskTable(worker)
        record = AgentRecord("a1", "1", "127.0.0.1", 1, "d0", worker_id="w1")
        announcing = asyncio.create_task(Announcer(record, control, table).run())
        await asyncio.sleep(0.5)
        prepare = PrepareTask(job_id=JOB, epoch=1, term=1, accelerators=8, payload="", trace_id="")
        await table.handle(prepare)
        await table.handle(StartTask(job_id=JOB, epoch=1, term=1))
        await asyncio.sleep(SETTLE_S)
        control.delays_s = list(delays_s)
        await asyncio.sleep(sum(delays_s) + SETTLE_S)
        assert (worker.state == "running") == is_running
        assert bool(table.reports()) == is_running
        assert bool(control.reported) == is_running
        announcing.cancel()
        await asyncio.gather(announcing, return_exceptions=True)

    run_virtual(main())
