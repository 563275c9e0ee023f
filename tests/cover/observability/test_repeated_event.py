"""Tests of the logging of repeated failures."""

import asyncio
from typing import Any

import pytest
from structlog.testing import capture_logs

from cicadatray.internal.agent.tasks.errors import WorkerReplacedError, WorkerUnansweredError
from cicadatray.internal.agent.tasks.task_agent import TaskAgent
from cicadatray.internal.agent.tasks.worker_port import WorkerView
from cicadatray.internal.bench.virtual_time_loop import run_virtual
from cicadatray.internal.observability.repeated_event import RepeatedEvent
from cicadatray.internal.wire.control_client import ControlUnavailableError
from cicadatray.internal.wire.message import MessageStruct
from cicadatray.internal.wire.messages.graph_messages import MembersReply
from cover.taskgraphs.test_task_agent import OFFER, FakePort

ANNOUNCE_S = 0.5
ANNOUNCEMENTS = 100


@pytest.mark.parametrize(
    ("kinds", "expected"),
    [
        ("", []),
        ("a", ["a", "a 1"]),
        ("aaaa", ["a", "a 4"]),
        ("aab", ["a", "a 2", "b", "b 1"]),
        ("aa-aaa", ["a", "a 2", "a", "a 3"]),
    ],
)
def test_change_and_count_are_logged(kinds: str, expected: list[str]) -> None:
    """Guards against an outage that fills the log with one line for each repeated failure."""

    async def main() -> None:
        event = RepeatedEvent("down")
        for kind in kinds:
            if kind == "-":
                event.record_end()
            else:
                event.record_failure(kind)
            await asyncio.sleep(1.0)
        event.record_end()
        event.record_end()

    with capture_logs() as lines:
        run_virtual(main())
    assert [
        f"{line['kind']} {line['count']}" if "count" in line else line["kind"] for line in lines
    ] == expected


class OutageControl:
    """A control client that finds no leader until `is_up` is set."""

    def __init__(self) -> None:
        self.is_up = False
        self.leader_name = "c1"

    async def call(self, message: MessageStruct, *_: float) -> MessageStruct:
        if not self.is_up:
            raise ControlUnavailableError(f"at {asyncio.get_running_loop().time()}")
        return MembersReply(members=(), term=3)


class FailingPort(FakePort):
    """A worker port that raises `error` unless it is None."""

    def __init__(self, error: Exception | None) -> None:
        super().__init__()
        self.error = error

    async def observe(self, *arguments: Any) -> WorkerView:
        if self.error is not None:
            raise self.error
        return WorkerView((), (), is_complete=True)


@pytest.mark.parametrize(
    ("error", "kind"),
    [
        (None, "ControlUnavailableError"),
        (WorkerUnansweredError("silent"), "WorkerUnansweredError"),
        (WorkerReplacedError("another"), "WorkerReplacedError"),
    ],
)
def test_outage_gives_two_lines_for_each_worker(error: Exception | None, kind: str) -> None:
    """Guards against an agent that logs "worker not adopted" with each of its announcements."""

    async def main() -> None:
        control: Any = OutageControl()
        control.is_up = error is not None
        agent = TaskAgent("a", control)
        port = FailingPort(error)
        for _ in range(ANNOUNCEMENTS):
            assert not await agent.receive_offer(OFFER, port)
            await asyncio.sleep(ANNOUNCE_S)
        control.is_up, port.error = True, None
        assert await agent.receive_offer(OFFER, port)

    with capture_logs() as lines:
        run_virtual(main())
    adoption_lines = [line for line in lines if line["event"].startswith("worker not adopted")]
    assert [line["event"] for line in adoption_lines] == [
        "worker not adopted",
        "worker not adopted, ended",
    ]
    assert all(line["kind"] == f"w-1: {kind}" for line in adoption_lines)
    assert adoption_lines[1]["count"] == ANNOUNCEMENTS
    assert adoption_lines[1]["duration_s"] == ANNOUNCEMENTS * ANNOUNCE_S
