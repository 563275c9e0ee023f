"""Loops of a leader that end while it leads."""

import asyncio
from typing import Any

import pytest

from cicadatray.internal.bench.virtual_time_loop import run_virtual
from cicadatray.internal.control.errors import LeadershipLostError
from cicadatray.internal.control.graphs.graph_loop import GraphLoop
from cicadatray.internal.wire.message import MessageStruct
from cicadatray.internal.wire.messages.graph_messages import RecordRuns, RunsRecorded
from cover.taskgraphs.test_end_recorder import CutOffLeader, end
from cover.taskgraphs.test_graph_session import call, make_session

LIMIT_S = 5.0


class FailingLeader(CutOffLeader):
    """Fails the first command with an error."""

    def __init__(self, session: Any, error: BaseException) -> None:
        super().__init__(session)
        self.error = error

    async def propose(self, command: MessageStruct) -> MessageStruct:
        assert isinstance(command, RecordRuns)
        self.commands.append(command)
        if len(self.commands) == 1:
            raise self.error
        return RunsRecorded(started=command.starts)


@pytest.mark.parametrize("is_end_reported", [True, False], ids=["ends", "rounds"])
@pytest.mark.parametrize(
    "error",
    [
        RuntimeError("unexpected"),
        LeadershipLostError("not committed in time"),
        asyncio.CancelledError("not by the daemon"),
    ],
    ids=["error", "leadership lost", "stray cancellation"],
)
def test_leader_notices_that_a_loop_has_ended(error: BaseException, is_end_reported: bool) -> None:
    """Guards against a leader that places no work, or records no ends, for as long as it leads.

    A task group takes a child that was cancelled for one that has ended as it should. The daemon
    begins a new session when the loop fails.
    """

    async def main() -> None:
        session, _ = make_session()
        session.leader = FailingLeader(session, error)  # type: ignore[assignment]
        loop = asyncio.create_task(GraphLoop(session).run())
        if is_end_reported:
            session.handle_sync(call(sequence=1, ends=(end(0, 1),)))
        else:
            session.graphs["g"].ended_s = -1e9
            session.replaced_workers.add("w-1")
        done, _ = await asyncio.wait([loop], timeout=LIMIT_S)
        assert done and not loop.cancelled() and loop.exception() is not None

    run_virtual(main())
