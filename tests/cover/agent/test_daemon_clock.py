"""The clock of the daemons."""

import asyncio
from pathlib import Path
from types import SimpleNamespace

import pytest

from cicadatray.internal.boot_time_loop import BootTimeLoop
from cicadatray.internal.daemon import main as daemon_main
from cicadatray.internal.standins import worker as worker_main


class AgentSettings:
    """The settings that the entry point itself reads."""

    __struct_config__ = SimpleNamespace(tag="agent")
    listen = SimpleNamespace(host="127.0.0.1")
    logging = None
    name = "a1"


def test_daemon_counts_the_time_in_suspension(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a lease that a machine takes for valid because it was suspended meanwhile."""
    loops: list[asyncio.AbstractEventLoop] = []

    async def serve(_: object) -> None:
        loops.append(asyncio.get_running_loop())

    def ignore(*arguments: object) -> None:
        """Stands for steps that would change the state of this process."""

    monkeypatch.setattr("sys.argv", ["cicadatrayd", "--settings", "settings.json"])
    monkeypatch.setattr(daemon_main, "load_settings", lambda path: AgentSettings())
    monkeypatch.setattr(daemon_main, "configure_logging", ignore)
    monkeypatch.setattr(daemon_main, "SOURCE_ADDRESS", SimpleNamespace(bind=ignore))
    monkeypatch.setattr(daemon_main, "serve", serve)
    daemon_main.main()
    assert isinstance(loops[0], BootTimeLoop)


def test_worker_has_the_clock_of_its_agent(monkeypatch: pytest.MonkeyPatch, tmp_path: Path) -> None:
    """Guards against a lease that its worker takes for longer than the agent that sent its end."""
    loops: list[asyncio.AbstractEventLoop] = []

    async def serve(*arguments: object) -> None:
        loops.append(asyncio.get_running_loop())

    journal = str(tmp_path / "journal")
    arguments = ["worker", "--name", "w", "--journal", journal, "--port", "1"]
    monkeypatch.setattr("sys.argv", arguments)
    monkeypatch.setattr(worker_main, "serve", serve)
    worker_main.main()
    assert isinstance(loops[0], BootTimeLoop)
