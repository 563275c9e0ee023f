"""Leases and orders of one agent, with a worker whose answers are scripted."""

import asyncio
from types import SimpleNamespace
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from cicadatray.internal.agent.tasks import sync_timing
from cicadatray.internal.agent.tasks.errors import WorkerUnansweredError
from cicadatray.internal.agent.tasks.order_executor import OrderExecutor
from cicadatray.internal.agent.tasks.run_table import RunTable
from cicadatray.internal.agent.tasks.task_agent import TaskAgent
from cicadatray.internal.agent.tasks.worker_clock import WorkerClock
from cicadatray.internal.agent.tasks.worker_lease import SILENT_WORKER_S, WorkerLease
from cicadatray.internal.agent.tasks.worker_port import StartAnswer, WorkerView
from cicadatray.internal.bench.virtual_time_loop import run_virtual
from cicadatray.internal.control.graphs.graph_codes import WORKER_UNKNOWN
from cicadatray.internal.observability.counter import Counter
from cicadatray.internal.wire.control_client import ControlUnavailableError
from cicadatray.internal.wire.errors import FrameError, WireError
from cicadatray.internal.wire.message import Failure, MessageStruct
from cicadatray.internal.wire.messages.graph_messages import (
    MembersReply,
    ReadMembers,
    RunOrder,
    RunReport,
    SyncWorker,
    WorkerOffer,
    WorkerOrders,
)
from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.task_id import TaskId, TaskRun
from cicadatray.scheduling.taskgraphs.worker_end import WorkerEnd

RUN = TaskRun(TaskId("g", 0, 0, 0), 1)
ORDER = RunOrder(RUN, "spec")
OFFER = WorkerOffer("w-1", "pool", "d0", "r0", ("a",), Resources(1, 1, 1))


class FakePort:
    """Answers each start with the next of `answers` and records the calls."""

    worker_id = "w-1"

    def __init__(self, *answers: StartAnswer | Exception) -> None:
        self.answers = list(answers)
        self.calls: list[str] = []
        self.stop_answers = asyncio.Event()

    def clock_s(self) -> float:
        return 100.0 + asyncio.get_running_loop().time()

    async def start(self, order: RunOrder, token: int, lease_until_s: float) -> StartAnswer:
        self.calls.append("start")
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer

    async def stop(self, run: TaskRun, token: int) -> None:
        self.calls.append("stop")
        await self.stop_answers.wait()

    async def observe(
        self, token: int, committed_end_number: int, lease_until_s: float, wait_s: float
    ) -> WorkerView:
        return WorkerView((), (), is_complete=True)

    async def close(self) -> None:
        """Does nothing, because there are no connections."""


def make_executor(port: FakePort) -> OrderExecutor:
    counter = Counter("answers_total", "", ("answer",))
    nothing: Any = lambda *arguments: None  # noqa: E731
    return OrderExecutor(
        port, RunTable(), WorkerLease(), counter, nothing, nothing, nothing, nothing
    )


def orders(
    term: int = 1, starts: tuple[RunOrder, ...] = (ORDER,), has_all_starts: bool = True
) -> WorkerOrders:
    return WorkerOrders(
        term=term,
        worker_id="w-1",
        lease_s=5.0,
        committed_end_number=0,
        starts=starts,
        has_all_starts=has_all_starts,
    )


@given(
    rate=st.floats(0.98, 1.02),
    age_s=st.floats(0.0, 10.0),
    lease_s=st.floats(1.0, 10.0),
    suspended_s=st.floats(0.0, 12.0),
)
def test_lease_expires_before_control_considers_it_expired(
    rate: float, age_s: float, lease_s: float, suspended_s: float
) -> None:
    """A lease that expires after control has stopped waiting lets a task run twice.

    The worker's clock does not count the time for which its machine was suspended.
    """

    async def main() -> None:
        clock = WorkerClock()
        clock.observe(500.0, 0.0)
        await asyncio.sleep(age_s)
        asked_s = asyncio.get_running_loop().time()
        lease = WorkerLease(20.0)
        lease.grant(asked_s, clock.lower_bound_s(asked_s), lease_s)
        await asyncio.sleep(suspended_s)
        lease.record_contact()
        sent_at_s = asyncio.get_running_loop().time()
        clock_s = clock.lower_bound_s(sent_at_s)
        end_s = lease.end_to_send(clock_s)
        if suspended_s >= lease_s:
            assert lease.is_over() and end_s == 0.0
        else:
            assert sent_at_s + (end_s - clock_s) / rate <= asked_s + lease_s + 1e-6

    run_virtual(main())


def test_lease_of_a_silent_worker_is_not_extended() -> None:
    """An unanswered call may still have extended the lease, which would then never expire."""

    async def main() -> None:
        lease = WorkerLease()
        lease.grant(0.0, 100.0, 5.0)
        first_s = lease.end_to_send(100.0)
        await asyncio.sleep(SILENT_WORKER_S)
        lease.grant(3.0, 110.0, 5.0)
        assert lease.end_to_send(110.0) == first_s
        lease.record_contact()
        assert lease.end_to_send(110.0) > first_s

    run_virtual(main())


@pytest.mark.parametrize(
    ("elapsed_s", "expected_end_s"),
    [(0.0, 106.0), (3.0, 109.0), (8.0, 111.92), (20.0, 0.0)],
    ids=["at the grant", "later", "near the end of the grant", "after the grant"],
)
def test_worker_is_not_sent_a_longer_lease_than_it_accepts(
    elapsed_s: float, expected_end_s: float
) -> None:
    """A worker that is gone is given up after the latest end sent, which could be far ahead."""

    async def main() -> None:
        lease = WorkerLease(6.0)
        lease.grant(0.0, 100.0, 12.0)
        await asyncio.sleep(elapsed_s)
        lease.record_contact()
        assert lease.end_to_send(100.0 + elapsed_s) == pytest.approx(expected_end_s)

    run_virtual(main())


@pytest.mark.parametrize("answer", [StartAnswer.UNHEALTHY, StartAnswer.REFUSED])
@pytest.mark.parametrize("parts", [0, 1, 3])
def test_start_that_an_earlier_process_may_have_sent_is_settled_by_a_stop(
    answer: StartAnswer, parts: int
) -> None:
    """Guards against reporting a run as cleared that the worker may still start.

    The process before a restart of the agent may have sent the start without an answer, and the
    worker may carry it out seconds later. Control would already have started the task elsewhere.
    The order may come in any reply up to the first one that leaves out no start.
    """

    async def main() -> None:
        port = FakePort(answer)
        driver = make_executor(port)
        for _ in range(parts):
            driver.apply(orders(starts=(), has_all_starts=False))
        driver.apply(orders())
        await asyncio.sleep(5.0)
        assert port.calls == ["start", "stop"]
        assert not driver.table.cleared
        driver.cancel()

    run_virtual(main())


@pytest.mark.parametrize(
    ("answers", "calls", "is_cleared"),
    [
        ((StartAnswer.ACCEPTED,), ["start"], False),
        ((StartAnswer.REFUSED,), ["start"], True),
        ((StartAnswer.UNHEALTHY,), ["start"], True),
        ((StartAnswer.SUPERSEDED,), ["start", "stop"], False),
        ((StartAnswer.LEASE_OVER, StartAnswer.ACCEPTED), ["start", "start"], False),
        (
            (WorkerUnansweredError("lost"), StartAnswer.ACCEPTED),
            ["start", "start"],
            False,
        ),
        (
            (WorkerUnansweredError("lost"), StartAnswer.UNHEALTHY),
            ["start", "start", "stop"],
            False,
        ),
    ],
    ids=[
        "accepted",
        "refused",
        "unhealthy",
        "was there before",
        "lease over",
        "unanswered",
        "unanswered, then unhealthy",
    ],
)
def test_start_is_settled(
    answers: tuple[StartAnswer | Exception, ...], calls: list[str], is_cleared: bool
) -> None:
    """An unanswered start may be carried out later, so its capacity is free only after a stop."""

    async def main() -> None:
        port = FakePort(*answers)
        driver = make_executor(port)
        driver.apply(orders(starts=()))
        driver.apply(orders())
        await asyncio.sleep(5.0)
        assert port.calls == calls
        assert bool(driver.table.cleared) is is_cleared
        driver.cancel()

    run_virtual(main())


@pytest.mark.parametrize("answer", [StartAnswer.LEASE_OVER, StartAnswer.ACCEPTED])
def test_answer_to_a_start_does_not_count_as_one_to_the_stop_after_it(
    answer: StartAnswer,
) -> None:
    """Guards against a run that is reported as cleared before its worker has answered the stop.

    The worker may still carry out an earlier order that it did not answer.
    """

    class LatePort(FakePort):
        async def start(self, order: RunOrder, token: int, lease_until_s: float) -> StartAnswer:
            await asyncio.sleep(0.5)
            return await super().start(order, token, lease_until_s)

    async def main() -> None:
        port = LatePort(WorkerUnansweredError("lost"), answer)
        driver = make_executor(port)
        driver.apply(orders())
        await asyncio.sleep(0.9)
        driver.begin_stop(driver.table.runs[RUN])
        await asyncio.sleep(1.0)
        assert port.calls == ["start", "stop", "start"]
        now_s = asyncio.get_running_loop().time()
        driver.table.apply_view(WorkerView((), (), is_complete=True), now_s, now_s)
        assert RUN not in driver.table.cleared
        driver.cancel()

    run_virtual(main())


def test_draining_worker_starts_nothing() -> None:
    """A task that starts on a draining worker would be lost with it."""

    async def main() -> None:
        port = FakePort()
        driver = make_executor(port)
        driver.is_draining = True
        driver.apply(orders(starts=()))
        driver.apply(orders())
        await asyncio.sleep(1.0)
        assert port.calls == []
        assert RUN in driver.table.cleared

    run_virtual(main())


def test_repeated_order_starts_once() -> None:
    """Control repeats an order until the agent has reported the run."""

    async def main() -> None:
        port = FakePort(StartAnswer.ACCEPTED)
        driver = make_executor(port)
        driver.apply(orders())
        driver.apply(orders())
        await asyncio.sleep(1.0)
        assert port.calls == ["start"]

    run_virtual(main())


@pytest.mark.parametrize(("term", "expected"), [(3, ["start"]), (1, [])])
def test_orders_of_a_former_leader_are_ignored(term: int, expected: list[str]) -> None:
    """A leader that was frozen may send orders that contradict those of the current leader."""

    async def main() -> None:
        port = FakePort(StartAnswer.ACCEPTED)
        control: Any = SimpleNamespace(leader_name="c1")
        agent = TaskAgent("a", control)
        agent.term = 2
        assert await agent.receive_offer(OFFER, port)
        await agent._take_reply(1, orders(term), 100.0, 0.0)
        await asyncio.sleep(1.0)
        assert port.calls == expected

    run_virtual(main())


class SilentPort(FakePort):
    """Lists `RUN` once, when the worker is adopted, and answers nothing afterwards."""

    def __init__(self) -> None:
        super().__init__()
        self.has_answered = False

    async def observe(
        self, token: int, committed_end_number: int, lease_until_s: float, wait_s: float
    ) -> WorkerView:
        if self.has_answered:
            await asyncio.sleep(0.8)
            raise WorkerUnansweredError("no answer")
        self.has_answered = True
        return WorkerView((RunReport(RUN, 40),), (), is_complete=True)


class ScriptedControl:
    """Grants leases from `grants_from_s` on and records the workers reported as ended."""

    leader_name = "c1"

    def __init__(self, grants_from_s: float) -> None:
        self.grants_from_s = grants_from_s
        self.ended_at_s: dict[str, float] = {}

    async def call(self, message: MessageStruct, *timeouts_s: float) -> MessageStruct:
        await asyncio.sleep(0.1)
        now_s = asyncio.get_running_loop().time()
        if isinstance(message, ReadMembers):
            return MembersReply(members=(), term=1)
        assert isinstance(message, SyncWorker)
        if message.ended_worker_id:
            self.ended_at_s.setdefault(message.ended_worker_id, now_s)
        if now_s < self.grants_from_s:
            raise ControlUnavailableError("no leader")
        return orders(starts=())


@pytest.mark.parametrize(
    ("grants_from_s", "ends_from_s"),
    [(0.0, 4.9), (3.0, 7.9), (60.0, 60.0)],
    ids=["lease granted at once", "lease granted late", "no lease granted"],
)
def test_restarted_agent_does_not_end_a_silent_worker(
    grants_from_s: float, ends_from_s: float
) -> None:
    """Guards against reporting a worker as ended whose runs continue under an earlier lease.

    The process before the restart had extended the lease by an amount that the new one does not
    know. Control starts the runs of an ended worker again at once.
    """

    async def main() -> None:
        control: Any = ScriptedControl(grants_from_s)
        agent = TaskAgent("a", control)
        assert await agent.receive_offer(OFFER, SilentPort())
        running = asyncio.create_task(agent.run())
        await asyncio.sleep(30.0)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        assert all(ended_s >= ends_from_s for ended_s in control.ended_at_s.values())
        assert bool(control.ended_at_s) is (ends_from_s < 30.0)

    run_virtual(main())


class SlowPort(FakePort):
    """Answers each call to observe after the next of `delays_s`, and counts these calls."""

    def __init__(self, *delays_s: float) -> None:
        super().__init__()
        self.delays_s = list(delays_s)
        self.observations = 0

    async def observe(
        self, token: int, committed_end_number: int, lease_until_s: float, wait_s: float
    ) -> WorkerView:
        self.observations += 1
        await asyncio.sleep(self.delays_s.pop(0))
        return WorkerView((), (), is_complete=True)


@pytest.mark.parametrize(
    ("offered_s", "observations"),
    [(0.2, 0), (0.0, 1)],
    ids=["before its offer", "while it is being adopted"],
)
def test_withdrawn_worker_is_not_adopted(offered_s: float, observations: int) -> None:
    """Guards against placing work on a worker that withdrew before the agent had adopted it.

    The agent was restarted, or the worker answered its first call late.
    """

    async def main() -> None:
        control: Any = ScriptedControl(0.0)
        agent = TaskAgent("a", control)
        port = SlowPort(0.5)

        async def offer() -> bool:
            await asyncio.sleep(offered_s)
            return await agent.receive_offer(OFFER, port)

        offering = asyncio.create_task(offer())
        await asyncio.sleep(0.15)
        await agent.withdraw_worker(OFFER.worker_id)
        assert not await offering
        assert agent.offer is None
        assert port.observations == observations

    run_virtual(main())


@pytest.mark.parametrize("delays_s", [(0.3, 0.3), (0.5, 0.1)], ids=["in order", "overtaken"])
def test_draining_is_recorded_while_the_worker_is_being_adopted(
    delays_s: tuple[float, float],
) -> None:
    """Guards against confirming that a worker drains and then starting tasks on it.

    Its first announcement was still being handled, and the worker answered that call late.
    """

    async def main() -> None:
        control: Any = ScriptedControl(0.0)
        agent = TaskAgent("a", control)
        port = SlowPort(*delays_s)
        first = asyncio.create_task(agent.receive_offer(OFFER, port))
        await asyncio.sleep(0.15)
        draining = msgspec.structs.replace(OFFER, is_draining=True)
        assert await agent.receive_offer(draining, port)
        assert await first
        assert agent.offer == draining
        assert agent.executor is not None and agent.executor.is_draining

    run_virtual(main())


@pytest.mark.parametrize("error", [ControlUnavailableError("silent"), FrameError("undecodable")])
def test_agent_pauses_after_a_call_without_a_usable_reply(error: WireError) -> None:
    """Guards against calling control without pause, and without a log line, after a bad reply.

    A relay of another version may pass on a reply that this agent cannot decode.
    """

    class FailingControl(ScriptedControl):
        async def call(self, message: MessageStruct, *timeouts_s: float) -> MessageStruct:
            reply = await super().call(message, *timeouts_s)
            if isinstance(message, SyncWorker):
                calls.append(asyncio.get_running_loop().time())
                raise error
            return reply

    calls: list[float] = []

    async def main() -> None:
        control: Any = FailingControl(0.0)
        agent = TaskAgent("a", control)
        assert await agent.receive_offer(OFFER, FakePort())
        running = asyncio.create_task(agent.run())
        await asyncio.sleep(3.0)
        assert not running.done()
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        assert len(calls) <= 1 + 3.0 / (0.1 + sync_timing.RETRY_S)

    run_virtual(main())


@pytest.mark.parametrize("code", ["too_many_calls", "internal_error", "unknown_call"])
def test_end_of_a_worker_is_reported_until_control_has_recorded_it(code: str) -> None:
    """Guards against tasks that run again because control refused the report of their ends.

    A refusal to one call does not say that the report in it was recorded.
    """

    class RefusingControl(ScriptedControl):
        async def call(self, message: MessageStruct, *timeouts_s: float) -> MessageStruct:
            await asyncio.sleep(0.1)
            if isinstance(message, ReadMembers):
                return MembersReply(members=(), term=1)
            assert isinstance(message, SyncWorker)
            reports.append(message.ended_worker_id)
            if asyncio.get_running_loop().time() < 2.0:
                return Failure(code=code, detail="refused")
            return Failure(code=WORKER_UNKNOWN, detail="the agent offers no worker")

    reports: list[str] = []

    async def main() -> None:
        control: Any = RefusingControl(0.0)
        agent = TaskAgent("a", control)
        running = asyncio.create_task(agent.run())
        assert await agent.receive_offer(OFFER, FakePort())
        agent.drop_worker(WorkerEnd.CRASHED)
        await asyncio.sleep(5.0)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        assert agent.ended_worker is None
        assert set(reports) == {OFFER.worker_id}
        assert 3 <= len(reports) <= 2.0 / sync_timing.RETRY_S

    run_virtual(main())
