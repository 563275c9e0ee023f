"""When the ends of runs enter the leader's log."""

import asyncio
from typing import Any

from cicadatray.internal.bench.virtual_time_loop import run_virtual
from cicadatray.internal.control.errors import LeadershipLostError
from cicadatray.internal.control.graphs.graph_loop import GraphLoop
from cicadatray.internal.observability.metrics_registry import MetricsRegistry
from cicadatray.internal.wire.message import MessageStruct
from cicadatray.internal.wire.messages.graph_messages import (
    RecordRuns,
    RunEnd,
    RunsRecorded,
)
from cicadatray.scheduling.taskgraphs.run_outcome import RunOutcome
from cicadatray.scheduling.taskgraphs.task_id import TaskId, TaskRun
from cover.taskgraphs.test_graph_session import call, make_session

# A leader that is cut off from its followers for as long as it keeps its lease.
CUT_S = 0.3


class CutOffLeader:
    """Takes commands in order; none commits before the cut has healed."""

    def __init__(self, session: Any) -> None:
        self.commands: list[RecordRuns] = []
        self.state = session.leader.state
        self.started_s = 0.0
        self.term = 4
        self.metrics = MetricsRegistry()
        self.is_lost = False

    def now_s(self) -> float:
        return asyncio.get_running_loop().time()

    async def propose(self, command: MessageStruct) -> MessageStruct:
        assert isinstance(command, RecordRuns)
        self.commands.append(command)
        await asyncio.sleep(max(0.0, CUT_S - self.now_s()))
        if self.is_lost:
            raise LeadershipLostError("another term has begun")
        return RunsRecorded(started=command.starts)


def end(index: int, number: int) -> RunEnd:
    return RunEnd(TaskRun(TaskId("g", 0, 0, index), 1), RunOutcome.DONE, number)


def test_end_is_proposed_while_an_earlier_commit_waits() -> None:
    """An end that was listed while a commit took 0.3 s was lost with all power after the commit.

    The configuration that was acknowledged by the same commit had been proposed after the end.
    """

    async def main() -> None:
        session, _ = make_session()
        leader = CutOffLeader(session)
        session.leader = leader  # type: ignore[assignment]
        loop = asyncio.create_task(GraphLoop(session).run())
        session.handle_sync(call(sequence=1, ends=(end(0, 1),)))
        await asyncio.sleep(CUT_S / 3)
        held = session.handle_sync(call(sequence=2, ends=(end(0, 1), end(1, 2))))
        assert held is not None
        await asyncio.sleep(CUT_S / 3)
        numbers = [placed.end.number for c in leader.commands for placed in c.ends]
        assert numbers == [1, 2]
        assert session.orders_for(held).committed_end_number == 0
        await asyncio.sleep(CUT_S)
        assert session.orders_for(held).committed_end_number == 2
        loop.cancel()

    run_virtual(main())


def test_loss_of_leadership_ends_the_loop() -> None:
    """Commits that run beside the loop must end it as one that it waits for does."""

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


def test_doubtful_start_that_is_settled_is_proposed_once() -> None:
    """An agent reports it with each call until it is durable; each report made a command."""

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
