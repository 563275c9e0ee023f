"""Orders, observations and calls of an agent that end with an error that nothing foresees."""

import asyncio

import pytest

from cicadatray.internal.agent.tasks.run_entry import RunPhase
from cicadatray.internal.agent.tasks.worker_port import StartAnswer, WorkerView
from cicadatray.internal.bench.virtual_time_loop import run_virtual
from cicadatray.scheduling.taskgraphs.task_id import TaskRun
from cover.taskgraphs.test_task_agent import RUN, FakePort, make_executor, orders

EMPTY = WorkerView((), (), is_complete=True)
# Orders are repeated after 0.2 s.
SETTLED_AFTER_S = 1.0


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
@pytest.mark.parametrize(
    "error",
    [RuntimeError("unexpected"), asyncio.CancelledError("not by the agent")],
    ids=["error", "stray cancellation"],
)
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
