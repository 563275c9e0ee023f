"""Tests of calls to a worker over the platform's interface, with a fake worker on loopback."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
import pytest
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from cicadatray.internal.agent.tasks.errors import (
    WorkerReplacedError,
    WorkerUnansweredError,
    WorkerUnreachableError,
)
from cicadatray.internal.agent.tasks.worker_port import StartAnswer, WorkerView
from cicadatray.internal.bench.virtual_time_loop import run_virtual
from cicadatray.internal.entry.http_server import HttpServer
from cicadatray.internal.wire.messages.graph_messages import RunOrder
from cicadatray.platform.worker_http_port import ORDER_TIMEOUT_S, WorkerHttpPort
from cicadatray.platform.worker_identity import WorkerIdentity
from cicadatray.scheduling.taskgraphs.run_outcome import RunOutcome
from cicadatray.scheduling.taskgraphs.task_id import TaskId, TaskRun

# Long enough for a slow machine, since the tests use real sockets; only a missing response may
# reach this timeout.
LIMIT_S = 60.0
RUN = TaskRun(TaskId("00000000000000aa", 0, 1, 2), 3)


class FakeWorker:
    """Responds to every call with the same status and body, and records the calls."""

    def __init__(self, status: int, body: dict[str, Any]) -> None:
        self.status = status
        self.body = body
        self.calls: list[tuple[str, str, dict[str, Any]]] = []

    async def answer(self, request: Request) -> Response:
        content = msgspec.json.decode(await request.body())
        expected = request.headers.get("expect-instance", "")
        self.calls.append((request.url.path, expected, content))
        return Response(msgspec.json.encode(self.body), self.status)

    def run(self, use: Callable[[WorkerHttpPort], Awaitable[Any]]) -> Any:
        async def main() -> Any:
            routes = [Route("/cicadatray/{call}", self.answer, methods=["POST"])]
            server = HttpServer(Starlette(routes=routes), "127.0.0.1", 0)
            await server.start()
            port = server.server.servers[0].sockets[0].getsockname()[1]
            worker = WorkerHttpPort(WorkerIdentity("i-1"), "127.0.0.1", port, LIMIT_S)
            try:
                return await use(worker)
            finally:
                await worker.close()
                await server.stop()

        return asyncio.run(main())


@pytest.mark.parametrize(
    ("status", "body", "answer"),
    [
        (200, {}, StartAnswer.ACCEPTED),
        (409, {"Reason": "late"}, StartAnswer.LEASE_OVER),
        (409, {"Reason": "old"}, StartAnswer.SUPERSEDED),
        (409, {"Reason": "room"}, StartAnswer.REFUSED),
        (409, {"Reason": "fence"}, StartAnswer.REFUSED),
        (400, {}, StartAnswer.REFUSED),
        (429, {}, StartAnswer.UNHEALTHY),
        (503, {}, StartAnswer.UNHEALTHY),
    ],
)
def test_results_of_a_start_order(status: int, body: dict[str, Any], answer: StartAnswer) -> None:
    """Guards against confusing refusals with unknown outcomes.

    The former taken for the latter would waste capacity, the reverse would run a task twice.
    """
    worker = FakeWorker(status, {"ClockMs": 5000, **body})
    order = RunOrder(RUN, "spec", "saved")
    assert worker.run(lambda port: port.start(order, 7, 9.5)) is answer
    path, expected, content = worker.calls[0]
    assert (path, expected) == ("/cicadatray/run-start", "i-1")
    assert content == {
        "Task": "00000000000000aa.0.1.2",
        "Run": 3,
        "Spec": "spec",
        "UntilMs": 9500,
        "FencingToken": 7,
        "Checkpoint": "saved",
    }


@pytest.mark.parametrize(
    ("status", "error"), [(421, WorkerReplacedError), (500, WorkerUnansweredError)]
)
def test_errors_without_an_answer_of_the_addressed_incarnation(
    status: int, error: type[Exception]
) -> None:
    """Guards against repeating an order for a replaced incarnation to its successor."""
    with pytest.raises(error):
        FakeWorker(status, {}).run(lambda port: port.start(RunOrder(RUN, ""), 1, 1.0))


def test_listed_runs_and_clock() -> None:
    """Guards against losing listed runs or the worker's clock, from which the lease is computed."""
    rows = {
        "Running": [["00000000000000aa.0.1.2", 3, "c", 41, 900]],
        "Ended": [[8, "00000000000000aa.0.1.0", 1, "alone", ""]],
    }
    worker = FakeWorker(200, {"ClockMs": 5000, **rows})

    async def use(port: WorkerHttpPort) -> Any:
        view = await port.observe(7, 6, 9.5, 0.05)
        return view, port.clock_s()

    view, clock_s = worker.run(use)
    assert [(report.run, report.percent, report.checkpoint) for report in view.running] == [
        (RUN, 41, "c")
    ]
    assert [end.outcome for end in view.ended] == [RunOutcome.PARTNERS_MISSING]
    assert clock_s >= 5.0
    assert worker.calls[0][2] == {
        "FencingToken": 7,
        "SeenUpto": 6,
        "UntilMs": 9500,
        "WaitMs": 50,
    }


def test_refused_connection_is_told_from_a_missing_answer() -> None:
    """Guards against taking a worker that is down for one that may have carried out the order."""

    async def main() -> None:
        server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        server.close()
        await server.wait_closed()
        worker = WorkerHttpPort(WorkerIdentity("i-1"), "127.0.0.1", port, LIMIT_S)
        with pytest.raises(WorkerUnreachableError):
            await worker.start(RunOrder(RUN, "spec"), 7, 9.5)
        await worker.close()

    asyncio.run(main())


class MutePort(WorkerHttpPort):
    """A port to a worker that answers no call, which records the calls."""

    def __init__(self) -> None:
        super().__init__(WorkerIdentity("i-1", born_ms=1_780_000_000_000), "127.0.0.1", 1)
        self.sent: list[str] = []

    async def _send(self, call: str, body: dict[str, Any], timeout_s: float) -> tuple[int, bytes]:
        self.sent.append(call)
        await asyncio.sleep(timeout_s)
        raise WorkerUnansweredError("no answer")


@pytest.mark.parametrize("starts", [1, 40, 320])
def test_calls_to_a_mute_worker_do_not_wait_for_each_other(starts: int) -> None:
    """Guards against a worker that is not given up, as its observer waits behind many starts.

    Each of them asked in turn which incarnation answers, and waited for the answer that long.
    """

    async def main() -> None:
        port = MutePort()
        started = [
            asyncio.create_task(port.start(RunOrder(RUN, "spec"), 7, 9.5)) for _ in range(starts)
        ]
        observed: asyncio.Task[WorkerView] = asyncio.create_task(port.observe(7, 1, 9.5, 0.0))
        outcomes = await asyncio.gather(observed, *started, return_exceptions=True)
        assert all(isinstance(outcome, WorkerUnansweredError) for outcome in outcomes)
        assert asyncio.get_running_loop().time() == pytest.approx(ORDER_TIMEOUT_S)
        assert port.sent == ["hold"]

    run_virtual(main())


def test_cancelled_start_does_not_fail_the_calls_that_wait_with_it() -> None:
    """Guards against orders that fail because another one was cancelled while both waited."""

    async def main() -> None:
        port = MutePort()
        first, second = (
            asyncio.create_task(port.start(RunOrder(RUN, "spec"), 7, 9.5)) for _ in range(2)
        )
        await asyncio.sleep(0.1)
        first.cancel()
        with pytest.raises(WorkerUnansweredError):
            await second
        assert first.cancelled()

    run_virtual(main())
