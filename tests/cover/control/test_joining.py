"""Tests of a control instance that requests to join the group."""

import asyncio
from pathlib import Path
from types import SimpleNamespace
from typing import Any

from cicadatray.internal.bench.virtual_time_loop import run_virtual
from cicadatray.internal.control.control_daemon import ControlDaemon
from cicadatray.internal.control.group_admission import GroupAdmission
from cicadatray.internal.settings.common import Address, ControlMember
from cicadatray.internal.settings.control_settings import ControlSettings
from cicadatray.internal.wire.errors import PeerUnreachableError
from cicadatray.internal.wire.message import MessageStruct
from cicadatray.internal.wire.messages.directory_messages import Acknowledged
from cicadatray.replication.member import Member

SEEDS = tuple(ControlMember(f"c{n}", "127.0.0.1", 7000 + n) for n in range(3))
SUCCESSOR = Member("c7", "127.0.0.1", 7007)
JOIN_DURATION_S = 10.0


class AddressClient:
    """Replies only at the successor's address."""

    def __init__(self, host: str, port: int) -> None:
        self.host = host
        self.port = port
        self.calls: list[MessageStruct] = []

    async def call(self, message: MessageStruct, timeout_s: float) -> MessageStruct:
        if self.port != SUCCESSOR.port:
            raise PeerUnreachableError("no such machine")
        self.calls.append(message)
        return Acknowledged()


def make_daemon(folder: Path, monkeypatch: Any) -> ControlDaemon:
    settings = ControlSettings(
        name="c5",
        data_centre="d",
        listen=Address("127.0.0.1", 7005),
        secret_file="",
        control=SEEDS,
        data_folder=str(folder),
        group_size=5,
        dump_folder=str(folder),
    )
    monkeypatch.setattr(
        "cicadatray.internal.wire.control_client.ControlClient._new_client",
        lambda self, host, port: AddressClient(host, port),
    )
    return ControlDaemon(settings, b"")


def test_member_finds_its_group_after_all_seeds_were_replaced(
    tmp_path: Path, monkeypatch: Any
) -> None:
    """Guards against a partitioned voter that never rejoins after all seeds have been replaced."""

    async def main() -> None:
        daemon = make_daemon(tmp_path, monkeypatch)
        replica: Any = SimpleNamespace(
            needs_to_join=lambda silence_s: True, members=lambda: (SUCCESSOR,)
        )
        admission = GroupAdmission(daemon.settings, replica, daemon.control_client)
        joining = asyncio.create_task(admission.run())
        await asyncio.sleep(JOIN_DURATION_S)
        joining.cancel()
        client: Any = daemon.control_client.clients.get(SUCCESSOR.member_id)
        assert client is not None
        assert client.calls

    run_virtual(main())
