"""Tests of the loops of a process that nobody waits for, after an unexpected error."""

import asyncio
from pathlib import Path
from typing import Any

import pytest
from structlog.testing import capture_logs

from cicadatray.internal.bench.virtual_time_loop import run_virtual
from cicadatray.internal.control.control_daemon import ControlDaemon
from cicadatray.internal.entry.http_server import HttpServer
from cicadatray.internal.wire.control_client import ControlClient
from cicadatray.internal.wire.message import MessageStruct
from cicadatray.internal.wire.messages.directory_messages import Acknowledged
from cicadatray.internal.wire.messages.graph_messages import (
    AnnounceMembers,
    JoinGroup,
    MemberAddress,
    MembersReply,
    ReadMembers,
)
from cicadatray.internal.wire.rpc_server import RpcServer
from cicadatray.platform.agent_role import AgentRole
from cicadatray.platform.control_role import ControlRole
from cicadatray.platform.entry_role import EntryRole
from cicadatray.platform.settings import load_platform_settings
from cicadatray.replication.errors import NotLeaderError
from cicadatray.replication.replica import Replica

LEADER = MemberAddress("control-10.0.0.9", "10.0.0.9", 7000)
# Far longer than the loops wait between two rounds.
RUN_S = 20.0
ROLES = {"entry": EntryRole, "agent": AgentRole, "control": ControlRole}


def settings_text(role: str, data_folder: str) -> str:
    return f"""
NodeName = "north-1"
Role = "{role}"
Ip = "10.0.0.1"
Zone = "north"
InternalPorts = [7000, 7007]
Seeds = ["10.0.0.2:8526"]
Bootstrap = false
DataDir = "{data_folder}"
[Listen]
Front = "10.0.0.1:8080"
Ready = "10.0.0.1:8081"
Control = "10.0.0.1:8526"
[FaultTolerance]
[Bounds]
"""


class FaultyNetwork:
    """Answers all calls, but raises an unexpected error for the first call of one type."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, error: BaseException, at: type) -> None:
        self.errors: dict[type, BaseException] = {at: error}
        self.answered: list[type] = []
        network = self

        class Client:
            is_connected = True

            def __init__(self, host: str, port: int) -> None:
                self.host = host
                self.port = port

            def release(self) -> None:
                """Does nothing: no connection is open."""

            async def close(self) -> None:
                """Does nothing: no connection is open."""

            async def call(self, message: MessageStruct, timeout_s: float) -> MessageStruct:
                return network.answer(message)

        monkeypatch.setattr(
            ControlClient, "_new_client", lambda self, host, port: Client(host, port)
        )

    def answer(self, message: MessageStruct) -> MessageStruct:
        error = self.errors.pop(type(message), None)
        if error is not None:
            raise error
        self.answered.append(type(message))
        if isinstance(message, ReadMembers):
            return MembersReply(members=(LEADER,), term=1)
        return Acknowledged()


async def do_nothing(*_: Any) -> None:
    """Replaces what needs sockets or disks."""


async def wait_forever(*_: Any) -> None:
    await asyncio.get_running_loop().create_future()


async def refuse_leadership(*_: Any) -> None:
    raise NotLeaderError(None)


async def run_role(role: Any) -> list[Any]:
    """Runs a role for `RUN_S` and returns its log lines."""
    stop = asyncio.Event()
    with capture_logs() as lines:
        running = asyncio.create_task(role.run(stop))
        await asyncio.sleep(RUN_S)
        if hasattr(role, "probe"):
            assert role.probe.has_recent_leader_reply()
        stop.set()
        await running
    return lines


def failures_of(role: Any, loop: str) -> str:
    prefix = f'cicadatray_loop_failures_total{{loop="{loop}"}} '
    lines = role.metrics.render_text().splitlines()
    return next((line.removeprefix(prefix) for line in lines if line.startswith(prefix)), "")


@pytest.fixture(autouse=True)
def _no_sockets_or_disks(monkeypatch: pytest.MonkeyPatch) -> None:
    for server in (HttpServer, RpcServer):
        monkeypatch.setattr(server, "start", do_nothing)
        monkeypatch.setattr(server, "stop", do_nothing)
    monkeypatch.setattr(Replica, "start", do_nothing)
    monkeypatch.setattr(Replica, "stop", do_nothing)
    monkeypatch.setattr(Replica, "failure", None)
    monkeypatch.setattr(Replica, "wait_stopped", wait_forever)
    monkeypatch.setattr(Replica, "members", lambda self: ())
    monkeypatch.setattr(Replica, "needs_to_join", lambda self, silence_s: True)
    monkeypatch.setattr(Replica, "confirm_leadership", refuse_leadership)


# An entry without its probe answers 503 to each call. A control instance without a replica
# tells nobody of the group once its probe or its announcer has ended.
@pytest.mark.parametrize(
    ("role_name", "data_folder", "loop", "message_type"),
    [
        ("entry", "", "leader probe", ReadMembers),
        ("entry", "", "seed announcer", AnnounceMembers),
        ("agent", "", "leader probe", ReadMembers),
        ("control", "", "leader probe", ReadMembers),
        ("control", "", "seed announcer", AnnounceMembers),
        ("control", "/data", "leader probe", ReadMembers),
        ("control", "/data", "seed announcer", AnnounceMembers),
        ("control", "/data", "group admission", JoinGroup),
    ],
)
@pytest.mark.parametrize("error_type", [RuntimeError, asyncio.CancelledError])
def test_loop_goes_on_after_an_unexpected_error(
    error_type: type[BaseException],
    role_name: str,
    data_folder: str,
    loop: str,
    message_type: type,
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a process that looks alive while one of its loops has ended for good."""
    path = tmp_path / "settings.toml"
    path.write_text(settings_text(role_name, data_folder), encoding="utf-8")

    async def main() -> None:
        error = error_type("unexpected")
        network = FaultyNetwork(monkeypatch, error, message_type)
        role = ROLES[role_name](load_platform_settings(path))
        lines = await run_role(role)
        assert not network.errors
        assert message_type in network.answered
        failures = [line for line in lines if line["event"] == "loop failed"]
        assert [(line["loop"], line["exc_info"]) for line in failures] == [(loop, error)]
        assert failures_of(role, loop) == "1"

    run_virtual(main())


def test_leadership_is_taken_again_after_an_unexpected_cancellation(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a leader without a session, which refuses all calls and stays the leader."""
    path = tmp_path / "settings.toml"
    path.write_text(settings_text("control", "/data"), encoding="utf-8")
    begun = 0

    async def lead(_: ControlDaemon) -> None:
        nonlocal begun
        begun += 1
        if begun == 1:
            raise asyncio.CancelledError
        await wait_forever()

    monkeypatch.setattr(ControlDaemon, "_lead", lead)
    monkeypatch.setattr(Replica, "confirm_leadership", do_nothing)

    async def main() -> None:
        role = ControlRole(load_platform_settings(path))
        assert role.daemon is not None
        FaultyNetwork(monkeypatch, RuntimeError(), JoinGroup)
        await run_role(role.daemon)
        assert begun == 2

    run_virtual(main())
