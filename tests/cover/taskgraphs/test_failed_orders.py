"""Orders, observations and calls of an agent that end with an error that nothing foresees."""

import asyncio
from typing import Any

import pytest

from cicadatray.internal.agent.tasks import sync_timing
from cicadatray.internal.agent.tasks.run_entry import RunPhase
from cicadatray.internal.agent.tasks.task_agent import TaskAgent
from cicadatray.internal.agent.tasks.worker_port import StartAnswer, WorkerView
from cicadatray.internal.bench.virtual_time_loop import run_virtual
from cicadatray.internal.wire.message import MessageStruct
from cicadatray.internal.wire.messages.graph_messages import RunReport, SyncWorker
from cicadatray.scheduling.taskgraphs.task_id import TaskRun
from cover.taskgraphs.test_task_agent import (
    OFFER,
    RUN,
    FakePort,
    ScriptedControl,
    make_executor,
    orders,
)

EMPTY = WorkerView((), (), is_complete=True)
LISTED = WorkerView((RunReport(RUN, 40),), (), is_complete=True)
ERRORS = [RuntimeError("unexpected"), asyncio.CancelledError("not by the agent")]
ERROR_IDS = ["error", "stray cancellation"]
# Orders are repeated after 0.2 s.
SETTLED_AFTER_S = 1.0
# The errors of observations and of calls end at this time.
FAILING_S = 2.0


class FailingPort(FakePort):
    """Fails the first start and the first `failing_stops` stops with an error."""

    def __init__(self, error: BaseException, failing_stops: int) -> None:
        super().__init__(StartAnswer.ACCEPTED)
        self.error = error
        self.failing_stops = failing_stops
        self.stop_answers.set()

    async def start(self, order: object, token: int, lease_until_s: float) -> StartAnswer:
        self.calls.append("start")
        raise self.error

    async def stop(self, run: TaskRun, token: int) -> None:
        self.calls.append("stop")
        if self.failing_stops:
            self.failing_stops -= 1
            raise self.error


@pytest.mark.parametrize("failing_stops", [0, 2])
@pytest.mark.parametrize("error", ERRORS, ids=ERROR_IDS)
def test_run_whose_order_failed_is_settled_by_a_stop(
    error: BaseException, failing_stops: int
) -> None:
    """Guards against a run that is reported as starting for good, which control never restarts.

    The worker may have carried out the start, so that only the answer to a stop makes it certain.
    """

    async def main() -> None:
        port = FailingPort(error, failing_stops)
        executor = make_executor(port)
        executor.apply(orders())
        await asyncio.sleep(SETTLED_AFTER_S)
        assert port.calls == ["start"] + ["stop"] * (failing_stops + 1)
        now_s = asyncio.get_running_loop().time()
        executor.table.apply_view(EMPTY, now_s, now_s)
        assert RUN in executor.table.cleared

    run_virtual(main())


def test_failed_order_of_an_ended_worker_is_not_followed_by_a_stop() -> None:
    """Guards against an order to the next incarnation of a worker, which would refuse that run."""

    async def main() -> None:
        port = FailingPort(RuntimeError("unexpected"), 0)
        executor = make_executor(port)
        executor.apply(orders())
        await asyncio.sleep(0.1)
        assert executor.table.runs[RUN].phase is RunPhase.STARTING
        executor.cancel()
        await asyncio.sleep(SETTLED_AFTER_S)
        assert port.calls == ["start"]

    run_virtual(main())


@pytest.mark.parametrize(
    ("ignored", "stops"), [(0, 1), (1, 2), (3, 4)], ids=["carried out", "ignored", "often ignored"]
)
def test_stop_is_repeated_while_the_worker_lists_the_run(ignored: int, stops: int) -> None:
    """Guards against a run that works on for good after a stop that was answered without effect."""

    class IgnoringPort(FakePort):
        async def stop(self, run: TaskRun, token: int) -> None:
            self.calls.append("stop")

        async def observe(
            self, token: int, committed_end_number: int, lease_until_s: float, wait_s: float
        ) -> WorkerView:
            await asyncio.sleep(wait_s)
            return LISTED if len(self.calls) <= ignored else EMPTY

    async def main() -> None:
        port = IgnoringPort()
        control: Any = ScriptedControl(0.0)
        agent = TaskAgent("a", control)
        assert await agent.receive_offer(OFFER, port)
        running = asyncio.create_task(agent.run())
        agent.table.apply_view(LISTED, 0.0, 0.0)
        assert agent.executor is not None
        agent.executor.begin_stop(agent.table.runs[RUN])
        await asyncio.sleep(12.0)
        assert port.calls == ["stop"] * stops
        assert RUN in agent.table.cleared
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)

    run_virtual(main())


class FailingView(FakePort):
    """Lists `RUN` when the worker is adopted, then fails to observe it until `FAILING_S`."""

    def __init__(self, error: BaseException) -> None:
        super().__init__()
        self.error = error
        self.observations = 0

    async def observe(
        self, token: int, committed_end_number: int, lease_until_s: float, wait_s: float
    ) -> WorkerView:
        self.observations += 1
        is_failing = asyncio.get_running_loop().time() < FAILING_S
        if self.observations > 1 and is_failing:
            raise self.error
        await asyncio.sleep(wait_s)
        return LISTED


class FailingCalls(ScriptedControl):
    """Fails each call about the worker until `FAILING_S`."""

    def __init__(self, error: BaseException) -> None:
        super().__init__(0.0)
        self.error = error
        self.calls: list[float] = []

    async def call(self, message: MessageStruct, *timeouts_s: float) -> MessageStruct:
        now_s = asyncio.get_running_loop().time()
        if isinstance(message, SyncWorker):
            self.calls.append(now_s)
            if now_s < FAILING_S:
                raise self.error
        return await super().call(message, *timeouts_s)


async def run_agent(control: Any, port: FakePort) -> TaskAgent:
    """Returns an agent after it has run for a while; its process must not end."""
    agent = TaskAgent("a", control)
    assert await agent.receive_offer(OFFER, port)
    running = asyncio.create_task(agent.run())
    await asyncio.sleep(2 * FAILING_S)
    assert not running.done()
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)
    return agent


@pytest.mark.parametrize("error", ERRORS, ids=ERROR_IDS)
def test_worker_is_observed_again_after_an_unexpected_error(error: BaseException) -> None:
    """Guards against a process that ends with one error, or lives on and never observes again.

    In the second case the lease of the runs expires, and control is told for good that they run.
    """

    async def main() -> None:
        port = FailingView(error)
        agent = await run_agent(ScriptedControl(0.0), port)
        assert FAILING_S / 0.2 <= port.observations <= FAILING_S / 0.2 + 10
        assert agent.lease.last_contact_s > FAILING_S

    run_virtual(main())


@pytest.mark.parametrize("error", ERRORS, ids=ERROR_IDS)
def test_agent_pauses_after_an_unexpected_error_of_a_call(error: BaseException) -> None:
    """Guards against calling control without a pause, and without a log line that says why."""

    async def main() -> None:
        control = FailingCalls(error)
        agent = await run_agent(control, FakePort())
        failed = [called_s for called_s in control.calls if called_s < FAILING_S]
        assert len(failed) <= FAILING_S / sync_timing.RETRY_S + 1
        assert agent.is_control_answering

    run_virtual(main())
