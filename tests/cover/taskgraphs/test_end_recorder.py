"""Commits of the ends of runs."""

import asyncio
from typing import Any

import pytest

from cicadatray.internal.bench.virtual_time_loop import run_virtual
from cicadatray.internal.control.errors import LeadershipLostError
from cicadatray.internal.control.graphs.end_recorder import BATCHING_DELAY_S
from cicadatray.internal.control.graphs.graph_loop import GraphLoop
from cicadatray.internal.observability.metrics_registry import MetricsRegistry
from cicadatray.internal.wire.message import MessageStruct
from cicadatray.internal.wire.messages.directory_messages import Acknowledged
from cicadatray.internal.wire.messages.graph_messages import (
    RecordRuns,
    RunEnd,
    RunsRecorded,
)
from cicadatray.internal.wire.messages.silence_messages import RecordSilences
from cicadatray.scheduling.taskgraphs.run_outcome import RunOutcome
from cicadatray.scheduling.taskgraphs.task_id import TaskId, TaskRun
from cover.taskgraphs.test_graph_session import call, make_session

# How long the leader is cut off from its followers while it keeps its lease.
CUT_S = 0.3


class CutOffLeader:
    """Accepts commands in order, and commits them only once the partition has healed."""

    def __init__(self, session: Any) -> None:
        self.commands: list[RecordRuns] = []
        self.state = session.leader.state
        self.started_s = 0.0
        self.term = 4
        self.metrics = MetricsRegistry()
        self.is_lost = False

    def now_s(self) -> float:
        return asyncio.get_running_loop().time()

    async def apply_earlier_commands(self) -> None:
        """Returns at once, because there was no earlier session."""

    async def propose(self, command: MessageStruct) -> MessageStruct:
        if isinstance(command, RecordSilences):
            return Acknowledged()
        assert isinstance(command, RecordRuns)
        self.commands.append(command)
        await asyncio.sleep(max(0.0, CUT_S - self.now_s()))
        if self.is_lost:
            raise LeadershipLostError("another term has begun")
        return RunsRecorded(started=command.starts)


def end(index: int, number: int) -> RunEnd:
    return RunEnd(TaskRun(TaskId("g", 0, 0, index), 1), RunOutcome.DONE, number)


def test_end_is_proposed_while_an_earlier_commit_waits() -> None:
    """An end must be proposed without waiting for an earlier commit.

    An end that was reported while a commit took 0.3 s was lost in a power loss after that commit,
    although a configuration that was proposed later had been acknowledged with the same commit.
    """

    async def main() -> None:
        session, _ = make_session()
        leader = CutOffLeader(session)
        session.leader = leader  # type: ignore[assignment]
        loop = asyncio.create_task(GraphLoop(session).run())
        session.handle_sync(call(sequence=1, ends=(end(0, 1),)))
        await asyncio.sleep(CUT_S / 3)
        worker = session.handle_sync(call(sequence=2, ends=(end(0, 1), end(1, 2))))
        assert worker is not None
        await asyncio.sleep(CUT_S / 3)
        numbers = [placed.end.number for c in leader.commands for placed in c.ends]
        assert numbers == [1, 2]
        assert session.orders_for(worker).committed_end_number == 0
        await asyncio.sleep(CUT_S)
        assert session.orders_for(worker).committed_end_number == 2
        loop.cancel()

    run_virtual(main())


@pytest.mark.parametrize("pause_s", [0.0, BATCHING_DELAY_S / 2, BATCHING_DELAY_S, 0.1])
def test_reported_end_is_proposed_before_the_loss_of_its_worker(pause_s: float) -> None:
    """Guards against starting a task again that is known to be done.

    The worker ended shortly after it had listed the end, and the first end recorded for a run
    decides.
    """

    async def main() -> None:
        session, _ = make_session()
        leader = CutOffLeader(session)
        session.leader = leader  # type: ignore[assignment]
        loop = asyncio.create_task(GraphLoop(session).run())
        session.handle_sync(call(sequence=1))
        await asyncio.sleep(CUT_S / 3)
        session.handle_sync(call(sequence=2, ends=(end(0, 1),)))
        await asyncio.sleep(pause_s)
        session.handle_sync(call(sequence=3, offer=None, ended_worker_id="w-1"))
        await asyncio.sleep(CUT_S)
        outcomes = [placed.end.outcome for c in leader.commands for placed in c.ends]
        assert outcomes == [RunOutcome.DONE, RunOutcome.LOST]
        loop.cancel()

    run_virtual(main())


def test_loss_of_leadership_ends_the_loop() -> None:
    """A concurrent commit that fails must end the loop, like one that the loop waits for."""

    async def main() -> None:
        session, _ = make_session()
        leader = CutOffLeader(session)
        leader.is_lost = True
        session.leader = leader  # type: ignore[assignment]
        loop = asyncio.create_task(GraphLoop(session).run())
        session.handle_sync(call(sequence=1, ends=(end(0, 1),)))
        await asyncio.wait((loop,), timeout=2 * CUT_S)
        assert isinstance(loop.exception(), LeadershipLostError)

    run_virtual(main())


def test_cleared_start_is_proposed_once() -> None:
    """A cleared run must be proposed once, although its agent reports it until it is durable."""

    async def main() -> None:
        session, _ = make_session()
        leader = CutOffLeader(session)
        session.leader = leader  # type: ignore[assignment]
        loop = asyncio.create_task(GraphLoop(session).run())
        cleared = RunEnd(TaskRun(TaskId("g", 0, 0, 1), 1), RunOutcome.STOPPED, 0)
        for sequence in range(1, 6):
            session.handle_sync(call(sequence=sequence, ends=(cleared,)))
            await asyncio.sleep(CUT_S / 10)
        assert sum(len(command.ends) for command in leader.commands) == 1
        loop.cancel()

    run_virtual(main())
