"""Tests of the agent's task table: leases, epochs and terms."""

import asyncio

import pytest

from cicadatray.internal.agent.task_table import TaskTable
from cicadatray.internal.agent.worker_client import ReserveOrder, WorkerTask
from cicadatray.internal.bench.virtual_time_loop import run_virtual
from cicadatray.internal.wire.message import MessageStruct
from cicadatray.internal.wire.messages.directory_messages import AnnounceReply, TaskReference
from cicadatray.internal.wire.messages.task_messages import (
    PrepareTask,
    StartTask,
    StopTask,
    TaskAccepted,
    TaskRefused,
)

JOB = "job-1"
LEASE_S = 6.0


class FakeWorker:
    """Records orders; `leases` contains the time until which each task may run."""

    def __init__(self) -> None:
        self.leases: dict[str, float] = {}
        self.states: dict[str, WorkerTask] = {}
        self.stopped: list[tuple[str, int]] = []

    async def reserve(self, task_id: str, order: ReserveOrder) -> None:
        self.leases[task_id] = order.lease_until_s
        self.states[task_id] = WorkerTask(task_id, order.epoch, "prepared", 0.0)

    async def start(self, task_id: str, epoch: int) -> None:
        self.states[task_id] = WorkerTask(task_id, epoch, "running", 0.0)

    async def renew(self, task_id: str, epoch: int, lease_until_s: float) -> None:
        self.leases[task_id] = lease_until_s

    async def stop(self, task_id: str, epoch: int) -> None:
        self.stopped.append((task_id, epoch))
        self.states.pop(task_id, None)

    async def list_tasks(self) -> tuple[WorkerTask, ...]:
        return tuple(self.states.values())


def make_table() -> tuple[TaskTable, FakeWorker]:
    worker = FakeWorker()
    return TaskTable(worker), worker  # type: ignore[arg-type]


def reply(term: int, *epochs: int) -> AnnounceReply:
    continuing = tuple(TaskReference(JOB, epoch) for epoch in epochs)
    return AnnounceReply(lease_s=LEASE_S, term=term, session=1, continuing=continuing)


def prepare(epoch: int, term: int = 1) -> PrepareTask:
    return PrepareTask(job_id=JOB, epoch=epoch, term=term, accelerators=8, payload="", trace_id="")


def start(epoch: int, term: int = 1) -> StartTask:
    return StartTask(job_id=JOB, epoch=epoch, term=term)


def stop(epoch: int, term: int = 1) -> StopTask:
    return StopTask(job_id=JOB, epoch=epoch, term=term)


async def renew(table: TaskTable, answer: AnnounceReply) -> None:
    await table.apply_reply(table.reports(), answer, asyncio.get_running_loop().time())


@pytest.mark.parametrize(
    ("orders", "refused_code"),
    [
        pytest.param([prepare(1), stop(1), prepare(1)], "stale_epoch", id="prepare after stop"),
        pytest.param([prepare(1), stop(1), start(1)], "stale_epoch", id="start after stop"),
        pytest.param([stop(2), prepare(2)], "stale_epoch", id="stop overtook prepare"),
        pytest.param([prepare(2), prepare(1)], "stale_epoch", id="lower epoch"),
        pytest.param([start(1)], "stale_epoch", id="start without prepare"),
        pytest.param([prepare(1, term=0)], "stale_term", id="leader of an earlier term"),
    ],
)
def test_late_orders_are_refused(orders: list[MessageStruct], refused_code: str) -> None:
    """Guards against orders that arrive after the gang was stopped or the leader deposed."""

    async def main() -> None:
        table, _ = make_table()
        await renew(table, reply(1))
        answers = [await table.handle(order) for order in orders]  # type: ignore[arg-type]
        assert all(isinstance(answer, TaskAccepted) for answer in answers[:-1])
        assert isinstance(answers[-1], TaskRefused)
        assert answers[-1].code == refused_code

    run_virtual(main())


def test_lease_of_a_task_ends_when_the_reply_does_not_name_it() -> None:
    """Guards against renewing a stopped gang because announcements of its agent are answered."""

    async def main() -> None:
        table, worker = make_table()
        await renew(table, reply(1))
        await table.handle(prepare(1))
        await table.handle(start(1))
        await asyncio.sleep(1.0)
        await renew(table, reply(1, 1))
        assert worker.leases[JOB] == 1.0 + LEASE_S
        await renew(table, reply(1))
        assert worker.stopped == [(JOB, 1)]
        assert isinstance(await table.handle(prepare(1)), TaskRefused)

    run_virtual(main())


def test_tasks_end_with_the_lease_and_cannot_be_prepared_again() -> None:
    """Guards against a late order of a frozen leader that starts a gang without a lease."""

    async def main() -> None:
        table, worker = make_table()
        await renew(table, reply(1))
        await table.handle(prepare(1))
        await asyncio.sleep(LEASE_S + 0.1)
        await table.refresh()
        assert worker.stopped == [(JOB, 1)]
        assert table.reports() == ()
        await renew(table, reply(1))
        assert isinstance(await table.handle(prepare(1)), TaskRefused)

    run_virtual(main())


def test_reply_of_an_earlier_term_renews_nothing() -> None:
    """Guards against a late reply of a deposed leader that extends a lease."""

    async def main() -> None:
        table, _ = make_table()
        await renew(table, reply(2))
        lease_until_s = table.lease_until_s
        await asyncio.sleep(1.0)
        await renew(table, reply(1))
        assert table.lease_until_s == lease_until_s

    run_virtual(main())


def test_stop_of_an_unknown_task_reaches_the_worker() -> None:
    """Guards against confirming a stop while the worker runs a task that the agent dropped."""

    async def main() -> None:
        table, worker = make_table()
        assert isinstance(await table.handle(stop(3)), TaskAccepted)
        assert worker.stopped == [(JOB, 3)]

    run_virtual(main())


@pytest.mark.parametrize(
    ("state", "is_reported"), [("prepared", True), ("running", True), ("stopped", False)]
)
def test_only_tasks_that_the_worker_holds_are_reported(state: str, is_reported: bool) -> None:
    """Guards against reporting a task whose lease has ended on the worker as running for good."""

    async def main() -> None:
        table, worker = make_table()
        await renew(table, reply(1))
        await table.handle(prepare(1))
        await table.handle(start(1))
        worker.states[JOB] = WorkerTask(JOB, 1, state, 0.0)
        table.changed.clear()
        await table.refresh()
        assert bool(table.reports()) == is_reported
        assert table.changed.is_set() != is_reported

    run_virtual(main())


def test_task_reserved_during_a_listing_stays_in_the_table() -> None:
    """Guards against dropping a task because the list was taken just before its reservation."""

    async def main() -> None:
        table, worker = make_table()
        await renew(table, reply(1))
        await table.handle(prepare(1))
        list_tasks = worker.list_tasks

        async def list_slowly() -> tuple[WorkerTask, ...]:
            listed = await list_tasks()
            other = PrepareTask(
                job_id="job-2", epoch=1, term=1, accelerators=8, payload="", trace_id=""
            )
            assert isinstance(await table.handle(other), TaskAccepted)
            return listed

        worker.list_tasks = list_slowly  # type: ignore[method-assign]
        await table.refresh()
        assert {report.job_id for report in table.reports()} == {JOB, "job-2"}

    run_virtual(main())
