"""An agent on a machine that is suspended with its worker, whose clock does not count that time."""

import asyncio
from typing import Any

import pytest

from cicadatray.internal.agent.tasks import sync_timing
from cicadatray.internal.agent.tasks.errors import WorkerUnansweredError
from cicadatray.internal.agent.tasks.run_entry import RunEntry, RunPhase
from cicadatray.internal.agent.tasks.task_agent import TaskAgent
from cicadatray.internal.agent.tasks.worker_clock import MIN_CLOCK_RATE, WorkerClock
from cicadatray.internal.agent.tasks.worker_lease import SILENT_WORKER_S
from cicadatray.internal.agent.tasks.worker_observer import OBSERVE_RETRY_S, OBSERVE_WAIT_S
from cicadatray.internal.agent.tasks.worker_port import StartAnswer, WorkerView
from cicadatray.internal.bench.virtual_time_loop import VirtualTimeLoop, run_virtual
from cicadatray.internal.control.graphs.task_leases import TaskLeases
from cicadatray.internal.wire.control_client import ControlUnavailableError
from cicadatray.internal.wire.message import MessageStruct
from cicadatray.internal.wire.messages.graph_messages import (
    MembersReply,
    ReadMembers,
    RunEnd,
    RunOrder,
    RunReport,
    SyncWorker,
    WorkerOffer,
    WorkerOrders,
)
from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.run_outcome import RunOutcome
from cicadatray.scheduling.taskgraphs.step import Step
from cicadatray.scheduling.taskgraphs.task_id import TaskId, TaskRun
from cover.taskgraphs.graph_simulation import GraphSimulation

RUN = TaskRun(TaskId("g", 0, 0, 0), 1)
OFFER = WorkerOffer("w-1", "pool", "d0", "r0", ("a",), Resources(1, 1, 1))
LEASES = TaskLeases(6.0)
# Work goes on after a suspension of this length, docs/design/clocks.md.
LONGEST_SUSPENSION_S = 10.0
ORDER_TIMEOUT_S = 0.8
STOP_S = 0.4


class SuspendableWorker:
    """A worker with one run, and the port to it; calls time out by the event loop's clock."""

    worker_id = "w-1"

    def __init__(self) -> None:
        self.clock = WorkerClock()
        self.suspended_s = 0.0
        self.lease_until_s = 0.0
        self.ended_at_s: float | None = None
        self.outcome = RunOutcome.DONE
        self.is_gone = False
        self.starts = 0

    def suspend(self, duration_s: float) -> None:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, VirtualTimeLoop)
        loop.now_s += duration_s
        self.suspended_s += duration_s

    def steady_s(self) -> float:
        return 100.0 + asyncio.get_running_loop().time() - self.suspended_s

    def end(self, outcome: RunOutcome) -> None:
        if self.ended_at_s is None:
            self.ended_at_s = asyncio.get_running_loop().time()
            self.outcome = outcome

    async def run(self) -> None:
        while self.ended_at_s is None:
            await asyncio.sleep(0.01)
            if self.lease_until_s and self.steady_s() > self.lease_until_s:
                self.end(RunOutcome.LAPSED)

    def clock_s(self) -> float:
        return self.clock.lower_bound_s(asyncio.get_running_loop().time())

    async def start(self, order: RunOrder, token: int, lease_until_s: float) -> StartAnswer:
        await self._call(0.0)
        self.starts += 1
        return StartAnswer.ACCEPTED

    async def stop(self, run: TaskRun, token: int) -> None:
        await self._call(0.0)
        asyncio.get_running_loop().call_later(STOP_S, self.end, RunOutcome.STOPPED)

    async def observe(
        self, token: int, committed_end_number: int, lease_until_s: float, wait_s: float
    ) -> WorkerView:
        self.lease_until_s = max(self.lease_until_s, lease_until_s)
        await self._call(wait_s)
        if self.ended_at_s is None:
            return WorkerView((RunReport(RUN, 40),), (), True, self.steady_s())
        return WorkerView((), (RunEnd(RUN, self.outcome, 1),), True, self.steady_s())

    async def close(self) -> None:
        """Does nothing, because there are no connections."""

    async def _call(self, wait_s: float) -> None:
        bound_s = self.clock_s()
        try:
            async with asyncio.timeout(ORDER_TIMEOUT_S + wait_s):
                await asyncio.sleep(1000.0 if self.is_gone else wait_s or 0.002)
        except TimeoutError as error:
            raise WorkerUnansweredError("no answer") from error
        self.clock.observe(self.steady_s(), asyncio.get_running_loop().time(), bound_s)


class SilencedControl:
    """Grants leases while `is_silent` is not set, and records the workers reported as ended."""

    leader_name = "c1"

    def __init__(self) -> None:
        self.is_silent = False
        self.ended_at_s: dict[str, float] = {}
        self.last_reply_s = 0.0

    async def call(
        self, message: MessageStruct, timeout_s: float, *attempt_s: float
    ) -> MessageStruct:
        if isinstance(message, ReadMembers):
            return MembersReply(members=(), term=1)
        assert isinstance(message, SyncWorker)
        loop = asyncio.get_running_loop()
        if self.is_silent:
            await asyncio.sleep(timeout_s)
            raise ControlUnavailableError("no leader")
        deadline_s = loop.time() + timeout_s
        await asyncio.sleep(message.wait_s or 0.01)
        if loop.time() > deadline_s:
            raise ControlUnavailableError("no answer in time")
        if message.ended_worker_id:
            self.ended_at_s.setdefault(message.ended_worker_id, loop.time())
        self.last_reply_s = loop.time()
        return WorkerOrders(
            term=1,
            worker_id="w-1",
            lease_s=LEASES.lease_s,
            committed_end_number=0,
            has_all_starts=True,
        )


class Machine:
    """An agent that has driven its worker for 3 s."""

    def __init__(self) -> None:
        self.control = SilencedControl()
        self.worker = SuspendableWorker()
        control: Any = self.control
        self.agent = TaskAgent("a", control)
        self.tasks: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> "Machine":
        assert await self.agent.receive_offer(OFFER, self.worker)
        self.tasks = [
            asyncio.create_task(self.agent.run()),
            asyncio.create_task(self.worker.run()),
        ]
        await asyncio.sleep(3.0)
        return self

    async def __aexit__(self, *error: object) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


@pytest.mark.parametrize(
    "suspensions_s",
    [(2.0,), (7.0,), (10.0,), (12.0,), (30.0,), (4.0, 4.0, 4.0, 4.0), (1.0,) * 30],
    ids=["short", "worker's lease", "almost a lease", "a lease", "long", "series", "many"],
)
def test_worker_is_not_ended_because_its_machine_was_suspended(
    suspensions_s: tuple[float, ...],
) -> None:
    """Guards against a report that a worker has ended whose clock stood still with its machine.

    Control starts the runs of an ended worker elsewhere at once, and they run twice.
    """

    async def main() -> None:
        async with Machine() as machine:
            for suspended_s in suspensions_s:
                machine.worker.suspend(suspended_s)
                await asyncio.sleep(0.7)
            await asyncio.sleep(10.0)
            assert machine.control.ended_at_s == {}
            if max(suspensions_s) <= LONGEST_SUSPENSION_S:
                assert machine.worker.ended_at_s is None

    run_virtual(main())


@pytest.mark.parametrize("suspensions_s", [(7.0,), (10.5,), (3.0, 3.0, 3.0)])
def test_runs_end_within_the_lease_of_control_after_a_suspension(
    suspensions_s: tuple[float, ...],
) -> None:
    """Guards against a run that goes on after control has restarted it on another worker.

    Control cannot be reached after the suspension, and the worker's own lease ends too late.
    """

    async def main() -> None:
        async with Machine() as machine:
            machine.control.is_silent = True
            for suspended_s in suspensions_s:
                machine.worker.suspend(suspended_s)
                await asyncio.sleep(0.3)
            await asyncio.sleep(20.0)
            assert machine.worker.ended_at_s is not None
            lasted_s = machine.worker.ended_at_s - machine.control.last_reply_s
            assert lasted_s < LEASES.expiry_s

    run_virtual(main())


@pytest.mark.parametrize("suspended_s", [12.0, 30.0, 600.0])
def test_runs_are_stopped_at_once_after_a_suspension_beyond_the_lease(suspended_s: float) -> None:
    """Guards against runs that go on until control is reached, which has restarted them by then."""

    async def main() -> None:
        async with Machine() as machine:
            machine.control.is_silent = True
            machine.worker.suspend(suspended_s)
            resumed_s = asyncio.get_running_loop().time()
            await asyncio.sleep(5.0)
            assert machine.worker.outcome is RunOutcome.STOPPED
            assert machine.worker.ended_at_s is not None
            assert machine.worker.ended_at_s - resumed_s < STOP_S + 0.1
            assert machine.agent.pauses.render()[-1].endswith(" 1")

    run_virtual(main())


@pytest.mark.parametrize("suspensions_s", [(20.0,), (3.0, 3.0, 3.0, 3.0)])
def test_new_process_stops_runs_that_outlive_an_earlier_lease(
    suspensions_s: tuple[float, ...],
) -> None:
    """Guards against a run under the lease of an earlier process that a suspension has prolonged.

    The new process of the agent does not reach control, and knows no end of a lease.
    """

    async def main() -> None:
        machine = Machine()
        machine.control.is_silent = True
        machine.agent.term = 1
        async with machine:
            machine.worker.lease_until_s = machine.worker.steady_s() + LEASES.worker_lease_s
            for suspended_s in suspensions_s:
                machine.worker.suspend(suspended_s)
                await asyncio.sleep(0.3)
            await asyncio.sleep(STOP_S)
            assert machine.worker.ended_at_s is not None
            assert machine.worker.outcome is RunOutcome.STOPPED

    run_virtual(main())


def test_start_is_withheld_while_only_the_lease_of_the_worker_lasts() -> None:
    """Guards against a start after a suspension that control counts as lost with its worker."""

    async def main() -> None:
        async with Machine() as machine:
            machine.control.is_silent = True
            machine.worker.suspend(12.0)
            executor = machine.agent.executor
            assert executor is not None
            run = TaskRun(TaskId("g", 0, 0, 1), 1)
            executor.apply(
                WorkerOrders(
                    term=1,
                    worker_id="w-1",
                    lease_s=LEASES.lease_s,
                    committed_end_number=0,
                    starts=(RunOrder(run, "spec"),),
                )
            )
            await asyncio.sleep(3.0)
            assert machine.worker.starts == 0
            machine.control.is_silent = False
            await asyncio.sleep(3.0)
            assert machine.worker.starts == 1

    run_virtual(main())


def test_worker_that_is_gone_is_still_ended() -> None:
    """Guards against work that waits for the lease of control although the worker's is over."""

    async def main() -> None:
        async with Machine() as machine:
            gone_s = asyncio.get_running_loop().time()
            machine.worker.is_gone = True
            await asyncio.sleep(15.0)
            longest_s = (SILENT_WORKER_S + LEASES.worker_lease_s) / MIN_CLOCK_RATE
            attempt_s = ORDER_TIMEOUT_S + OBSERVE_WAIT_S + OBSERVE_RETRY_S
            limit_s = OBSERVE_WAIT_S + longest_s + attempt_s + sync_timing.WAIT_S
            assert machine.control.ended_at_s["w-1"] - gone_s < limit_s

    run_virtual(main())


def test_reading_that_refutes_the_estimate_replaces_it() -> None:
    """Guards against an estimate that stays ahead of the clock after many short suspensions."""
    clock = WorkerClock()
    clock.observe(100.0, 0.0)
    for step in range(1, 21):
        clock.lower_bound_s(step * 0.4)
    bound_s = clock.lower_bound_s(8.0)
    assert clock.observe(100.5, 8.1) == 0.0
    assert clock.lower_bound_s(8.1) > bound_s
    assert clock.observe(100.5, 8.1, bound_s) == pytest.approx(bound_s - 100.5)
    assert clock.lower_bound_s(8.1) == 100.5


def test_suspension_does_not_count_as_time_on_the_worker() -> None:
    """Guards against taking a run for harmless that crashed its worker soon after its start."""
    entry = RunEntry(RUN, None, RunPhase.RUNNING)
    entry.record_listed(RunReport(RUN, 0), asked_s=1.0, received_s=1.0, clock_s=100.0)
    entry.record_listed(RunReport(RUN, 0), asked_s=9.0, received_s=9.0, clock_s=100.1)
    assert entry.observed_s == pytest.approx(0.1)


@pytest.mark.parametrize(
    ("suspensions_s", "is_cut", "last_run"),
    [
        ((2.0,), False, 1),
        ((7.0,), False, 1),
        ((LONGEST_SUSPENSION_S,), False, 1),
        ((7.0, 7.0, 7.0), False, 1),
        ((7.0,), True, 2),
        ((LONGEST_SUSPENSION_S,), True, 2),
        ((3.0, 3.0, 3.0), True, 2),
    ],
)
def test_no_task_runs_on_two_workers_after_a_suspension(
    suspensions_s: tuple[float, ...], is_cut: bool, last_run: int
) -> None:
    """Guards against a task that control starts again while its worker works on.

    The simulation fails when a task starts beside another run of it. With `is_cut` the agent
    reaches control no more after the first suspension.
    """
    simulation = GraphSimulation(seed=3, size=3)
    try:
        simulation.task_duration_s = 60.0
        simulation.advance(2.0)
        simulation.submit(f"{1:016x}", (Step(1, Resources(8000, 8000, 8), 60.0),))
        simulation.advance(1.0)
        number = next(n for n, worker in enumerate(simulation.workers) if worker.running)
        for suspended_s in suspensions_s:
            if is_cut:
                simulation.cut_agent(number)
            simulation.suspend_machine(number, suspended_s)
            simulation.advance(0.7)
        simulation.advance(2 * LEASES.expiry_s)
        assert max(run.run for run in simulation.starts) == last_run
    finally:
        simulation.close()
