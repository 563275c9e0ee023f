"""Workers that start again under their identifier, met through an agent's HTTP routes."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from cicadatray.internal.agent.tasks.task_agent import TaskAgent
from cicadatray.internal.wire.message import MessageStruct
from cicadatray.internal.wire.messages.graph_messages import (
    MembersReply,
    ReadMembers,
    RunEnd,
    RunOrder,
    SyncWorker,
    WorkerOrders,
)
from cicadatray.platform.worker_api import WorkerApi
from cicadatray.platform.worker_document import decode_task
from cicadatray.scheduling.taskgraphs.run_outcome import RunOutcome
from cicadatray.scheduling.taskgraphs.task_id import TaskRun
from cover.platform.asgi import request
from cover.platform.fake_worker import FakeWorker

TASK = "00000000000000aa.0.0.0"
# The tests use real sockets; only what never happens may reach this limit.
LIMIT_S = 30.0
POLL_S = 0.02


class FakeControl:
    """Orders `starts` of the worker offered last and commits each end at once.

    `ends` holds the reported ends by worker, and `ended_workers` the workers reported as ended.
    """

    leader_name = "c1"

    def __init__(self) -> None:
        self.starts: dict[str, list[RunOrder]] = {}
        self.workers: list[str] = []
        self.ends: dict[str, dict[int, RunEnd]] = {}
        self.ended_workers: list[str] = []
        self.reported: dict[str, list[TaskRun]] = {}

    async def call(self, message: MessageStruct, *timeouts_s: float) -> MessageStruct:
        if isinstance(message, ReadMembers):
            return MembersReply(members=(), term=1)
        assert isinstance(message, SyncWorker)
        await asyncio.sleep(min(message.wait_s, 0.05))
        if message.ended_worker_id and message.ended_worker_id not in self.ended_workers:
            self.ended_workers.append(message.ended_worker_id)
        if message.offer is None:
            return MembersReply(members=(), term=1)
        worker_id = message.offer.worker_id
        if worker_id not in self.workers:
            self.workers.append(worker_id)
        ends = self.ends.setdefault(worker_id, {})
        ends.update({end.number: end for end in message.ends if end.number})
        self.reported[worker_id] = [report.run for report in message.runs]
        clears = tuple(end.run for end in message.ends if not end.number)
        return WorkerOrders(
            term=1,
            worker_id=worker_id,
            lease_s=11.0,
            committed_end_number=max(ends, default=0),
            starts=tuple(self.starts.get(worker_id, ())),
            committed_clears=clears,
        )

    def order(self, run: int) -> None:
        """Orders a run of the task on the worker offered last."""
        order = RunOrder(TaskRun(decode_task(TASK), run), "spec")
        self.starts[self.workers[-1]] = [order]


class Scene:
    """A worker, its agent and control."""

    def __init__(self) -> None:
        self.worker = FakeWorker()
        self.control = FakeControl()
        self.running: asyncio.Task[None] | None = None
        self.start_agent()

    def start_agent(self) -> None:
        """Replaces the agent by a process that knows nothing of the one before."""
        if self.running is not None:
            self.running.cancel()
        control: Any = self.control
        self.agent = TaskAgent("a", control)
        self.routes = WorkerApi(self.agent).application()
        self.running = asyncio.create_task(self.agent.run())

    async def announce(self, body: bytes | None = None) -> int:
        """Sends an announcement, by default the next one, and returns the status."""
        body = self.worker.announcement() if body is None else body
        path = f"/cicadatray/instances/{self.worker.identifier}"
        return (await request(self.routes, "PUT", path, body)).status

    async def withdraw(self) -> None:
        path = f"/cicadatray/instances/{self.worker.identifier}"
        await request(self.routes, "DELETE", path)

    async def until(self, condition: Callable[[], bool]) -> None:
        """Waits for a condition."""
        async with asyncio.timeout(LIMIT_S):
            while not condition():
                await asyncio.sleep(POLL_S)

    async def run_task(self, run: int) -> None:
        """Runs the task to its end on the current process of the worker."""
        self.control.order(run)
        await self.until(lambda: (TASK, run) in self.worker.starts[-1])
        self.worker.finish(TASK)
        ends = self.control.ends[self.control.workers[-1]]
        await self.until(lambda: any(end.run.run == run for end in ends.values()))

    async def adopt(self) -> None:
        """Announces the worker until control has heard of it."""
        known = len(self.control.workers)
        while await self.announce() != 200:
            await asyncio.sleep(POLL_S)
        await self.until(lambda: len(self.control.workers) > known)

    async def close(self) -> None:
        assert self.running is not None
        self.running.cancel()
        await asyncio.gather(self.running, return_exceptions=True)
        await self.worker.close()


def play(story: Callable[[Scene], Awaitable[None]]) -> None:
    """Runs a test with a worker that listens and whose agent has adopted it."""

    async def main() -> None:
        scene = Scene()
        try:
            await scene.worker.listen()
            await scene.adopt()
            await story(scene)
        finally:
            await scene.close()

    asyncio.run(main())


async def nothing(scene: Scene) -> None:
    """Lets the agent meet the new process by itself."""


async def restart_agent(scene: Scene) -> None:
    scene.start_agent()


@pytest.mark.parametrize("between", [nothing, restart_agent])
@pytest.mark.parametrize("earlier_ends", [1, 3])
def test_end_in_a_new_process_of_a_worker_reaches_control(
    between: Callable[[Scene], Awaitable[None]], earlier_ends: int
) -> None:
    """Guards against a task that runs again after it was done, as its end was forgotten unseen.

    The agent acknowledged the ends of the process before to one that numbers its ends anew.
    """

    async def story(scene: Scene) -> None:
        for run in range(1, earlier_ends + 1):
            await scene.run_task(run)
        await scene.worker.crash()
        await scene.worker.listen()
        await between(scene)
        await scene.adopt()
        await scene.run_task(9)
        ends = scene.control.ends[scene.control.workers[-1]]
        assert [(end.number, end.outcome) for end in ends.values()] == [(1, RunOutcome.DONE)]

    play(story)


def test_ends_of_a_new_process_are_not_acknowledged_before_it_is_known() -> None:
    """Guards against an acknowledgement that reaches the next process of the worker.

    The new process has ended a run before the agent knows of it.
    """

    async def story(scene: Scene) -> None:
        await scene.run_task(1)
        await scene.run_task(2)
        scene.control.order(3)
        await scene.until(lambda: (TASK, 3) in scene.worker.starts[-1])
        await scene.worker.crash()
        await asyncio.sleep(0.8)
        await scene.worker.listen()
        await asyncio.sleep(1.5)
        assert set(scene.worker.seen_up_to[-1]) <= {0}

    play(story)


def test_order_to_a_crashed_process_is_not_carried_out_by_the_next_one() -> None:
    """Guards against a run that starts on a new process after control has started it elsewhere.

    The agent repeats an unanswered order, and the new process answers at the same address.
    """

    async def story(scene: Scene) -> None:
        await scene.worker.crash()
        scene.control.order(1)
        await scene.until(lambda: any(scene.control.reported.values()))
        await asyncio.sleep(0.5)
        await scene.worker.listen()
        await asyncio.sleep(1.5)
        assert scene.worker.starts[-1] == []
        await scene.adopt()
        assert scene.control.ended_workers or len(scene.control.workers) == 2

    play(story)


def test_first_announcement_of_a_new_process_is_taken() -> None:
    """Guards against a worker that stays unknown until its numbers pass those from before."""

    async def story(scene: Scene) -> None:
        for _ in range(5):
            await scene.announce()
        late = scene.worker.announcement()
        await scene.worker.crash()
        await scene.worker.listen()
        await scene.adopt()
        current = scene.control.workers[-1]
        for _ in range(2):
            await scene.announce(late)
        await asyncio.sleep(0.3)
        assert scene.control.workers == [scene.control.workers[0], current]
        assert scene.agent.offer is not None and scene.agent.offer.worker_id == current
        assert await scene.announce() == 200

    play(story)


def test_worker_that_withdrew_may_come_back_under_its_identifier() -> None:
    """Guards against an instance that is refused for good after it has left once."""

    async def story(scene: Scene) -> None:
        await scene.announce(scene.worker.announcement("draining"))
        await scene.withdraw()
        await scene.worker.crash()
        await scene.worker.listen()
        await scene.adopt()
        await scene.run_task(1)

    play(story)


def test_withdrawal_after_the_clock_was_set_back_ends_the_current_process() -> None:
    """Guards against a withdrawal that is taken for one of a process that only seems newer."""

    async def story(scene: Scene) -> None:
        await scene.worker.crash()
        scene.worker.born_ms -= 60_000
        await scene.worker.listen()
        await scene.adopt()
        current = scene.control.workers[-1]
        await scene.announce(scene.worker.announcement("draining"))
        await scene.withdraw()
        await scene.until(lambda: current in scene.control.ended_workers)

    play(story)


def test_late_withdrawal_does_not_end_the_next_process() -> None:
    """Guards against work that is started elsewhere while it runs on a worker that is there."""

    async def story(scene: Scene) -> None:
        await scene.worker.crash()
        await scene.worker.listen()
        await scene.adopt()
        scene.control.order(1)
        await scene.until(lambda: (TASK, 1) in scene.worker.starts[-1])
        await scene.withdraw()
        await asyncio.sleep(0.5)
        assert scene.agent.offer is not None
        assert scene.control.workers[-1] not in scene.control.ended_workers

    play(story)
