"""Starts of an agent whose permission to send them has expired."""

import asyncio
from typing import Any

import msgspec
import pytest

from cicadatray.internal.agent.tasks.order_executor import OrderExecutor
from cicadatray.internal.agent.tasks.task_agent import TaskAgent
from cicadatray.internal.agent.tasks.worker_port import StartAnswer, WorkerView
from cicadatray.internal.bench.virtual_time_loop import run_virtual
from cicadatray.internal.wire.messages.graph_messages import RunOrder, WorkerOrders
from cover.taskgraphs.test_task_agent import OFFER, ORDER, RUN, FakePort, make_executor

PERMISSION_S = 2.5


class WaitingPort(FakePort):
    """Answers each observation after the time for which the agent lets it wait."""

    async def observe(
        self, token: int, committed_end_number: int, lease_until_s: float, wait_s: float
    ) -> WorkerView:
        await asyncio.sleep(wait_s)
        return WorkerView((), (), is_complete=True)


def reply(starts: tuple[RunOrder, ...] = (), has_stop: bool = False) -> WorkerOrders:
    return WorkerOrders(
        term=1,
        worker_id="w-1",
        lease_s=5.0,
        committed_end_number=0,
        starts=starts,
        stops=(RUN,) if has_stop else (),
    )


def answer_late(executor: OrderExecutor, age_s: float, permission_s: float) -> None:
    """Carries out a reply with a start to a call of the given age."""
    asked_s = asyncio.get_running_loop().time() - age_s
    executor.permission.renew(asked_s, permission_s)
    executor.apply(reply((ORDER,)))


@pytest.mark.parametrize(
    ("age_s", "permission_s", "calls"),
    [
        (0.0, PERMISSION_S, ["start"]),
        (PERMISSION_S - 0.01, PERMISSION_S, ["start"]),
        (PERMISSION_S, PERMISSION_S, []),
        (60.0, PERMISSION_S, []),
        (60.0, 0.0, ["start"]),
    ],
    ids=["fresh", "about to expire", "expired", "long expired", "no limit"],
)
def test_start_is_sent_only_while_the_permission_holds(
    age_s: float, permission_s: float, calls: list[str]
) -> None:
    """Guards against starts in a data centre that was evacuated since the call was sent."""

    async def main() -> None:
        port = FakePort(StartAnswer.ACCEPTED)
        executor = make_executor(port)
        answer_late(executor, age_s, permission_s)
        await asyncio.sleep(5.0)
        assert port.calls == calls
        executor.cancel()

    run_virtual(main())


@pytest.mark.parametrize(
    ("event", "calls", "is_kept"),
    [("renewed", ["start"], True), ("stopped", ["stop"], True), ("drains", ["stop"], True)],
)
def test_withheld_start_waits_for_the_next_reply(
    event: str, calls: list[str], is_kept: bool
) -> None:
    """Guards against a withheld start that is lost, or sent although it was revoked meanwhile.

    A start in the first reply of control may have been sent by an earlier process of the agent, so
    it is settled by a stop.
    """

    async def main() -> None:
        port = FakePort(StartAnswer.ACCEPTED)
        executor = make_executor(port)
        answer_late(executor, 60.0, PERMISSION_S)
        await asyncio.sleep(1.0)
        assert port.calls == []
        if event == "drains":
            executor.is_draining = True
        else:
            executor.permission.renew(asyncio.get_running_loop().time(), PERMISSION_S)
            executor.apply(reply(has_stop=event == "stopped"))
        await asyncio.sleep(0.3)
        assert port.calls == calls
        assert (RUN in executor.table.runs) is is_kept
        executor.cancel()

    run_virtual(main())


@pytest.mark.parametrize(
    ("reply_after_s", "calls"),
    [(PERMISSION_S - 0.1, ["start"]), (PERMISSION_S + 0.1, [])],
    ids=["in time", "too late"],
)
def test_permission_counts_from_before_the_call(reply_after_s: float, calls: list[str]) -> None:
    """Guards against a reply that was on its way while the data centre was evacuated."""

    class SlowControl:
        leader_name = "c1"
        has_replied = False

        async def call(self, *arguments: Any) -> WorkerOrders:
            await asyncio.sleep(60.0 if self.has_replied else reply_after_s)
            self.has_replied = True
            return msgspec.structs.replace(reply((ORDER,)), start_permission_s=PERMISSION_S)

    async def main() -> None:
        port = WaitingPort(StartAnswer.ACCEPTED)
        control: Any = SlowControl()
        agent = TaskAgent("a", control)
        agent.term = 1
        running = asyncio.create_task(agent.run())
        assert await agent.receive_offer(OFFER, port)
        await asyncio.sleep(reply_after_s + 0.05)
        assert port.calls == calls
        running.cancel()

    run_virtual(main())


def test_start_without_an_answer_is_not_repeated_without_a_permission() -> None:
    """Guards against an agent that is cut off and repeats a start for as long as it likes."""

    async def main() -> None:
        port = FakePort(*[StartAnswer.LEASE_OVER] * 100)
        executor = make_executor(port)
        answer_late(executor, 0.0, PERMISSION_S)
        await asyncio.sleep(PERMISSION_S)
        sent = len(port.calls)
        assert sent > 1
        await asyncio.sleep(5.0)
        assert len(port.calls) == sent
        executor.cancel()

    run_virtual(main())
