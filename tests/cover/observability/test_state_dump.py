"""Tests of state dumps."""

import asyncio
import os
from pathlib import Path
from typing import Any

import msgspec
import pytest

from cicadatray.internal.observability.dump_limits import DUMP_LIMIT_CHARS, DUMP_LIMIT_ITEMS
from cicadatray.internal.observability.errors import DumpError
from cicadatray.internal.observability.state_dump import DUMP_SIGNAL, StateDump


def decode(dump: StateDump) -> dict[str, Any]:
    decoded: dict[str, Any] = msgspec.json.decode(dump.render())
    return decoded


def test_sections_are_bounded_and_redacted(tmp_path: Path) -> None:
    """Guards against dumps that hold secrets or grow with the state."""
    dump = StateDump(tmp_path, "e1")

    @dump.provider("jobs")
    def list_jobs() -> list[int]:
        return list(range(DUMP_LIMIT_ITEMS + 5))

    dump.register("by_id", lambda: {str(n): n for n in range(DUMP_LIMIT_ITEMS + 7)})
    dump.register("text", lambda: {"note": "x" * (DUMP_LIMIT_CHARS + 9), "credential": "c"})
    decoded = decode(dump)
    assert decoded["jobs"][-1] == {"omitted": 5}
    assert decoded["by_id"]["omitted"] == 7
    assert decoded["text"]["note"].endswith("(9 more characters)")
    assert decoded["text"]["credential"] == "[redacted]"


def test_largest_section_is_omitted_first(tmp_path: Path) -> None:
    """Guards against a dump that is too long for the frame between processes."""
    dump = StateDump(tmp_path, "e1", limit_bytes=4000)
    dump.register("large", lambda: ["y" * 1000] * 10)
    dump.register("small", lambda: ["z"])
    assert len(dump.render()) <= 4000
    decoded = decode(dump)
    assert decoded["large"]["omitted_bytes"] > 10_000
    assert decoded["small"] == ["z"]


def test_failing_provider_does_not_hide_the_others(tmp_path: Path) -> None:
    """Guards against a lost dump when one part of the process is broken."""
    dump = StateDump(tmp_path, "e1")
    dump.register("broken", lambda: 1 // 0)
    dump.register("good", lambda: 1)
    decoded = decode(dump)
    assert decoded["broken"]["error"].startswith("ZeroDivisionError")
    assert decoded["good"] == 1
    with pytest.raises(DumpError, match="two providers"):
        dump.register("good", lambda: 2)


def test_signal_writes_one_complete_file(tmp_path: Path) -> None:
    """Guards against a signal that kills the process or leaves partial files."""
    dump = StateDump(tmp_path, "e1")
    dump.register("state", lambda: "on")
    path = tmp_path / "cicadatray-dump-e1.json"

    async def main() -> None:
        dump.install_signal(asyncio.get_running_loop())
        os.kill(os.getpid(), DUMP_SIGNAL)
        while not path.exists():
            await asyncio.sleep(0.001)
        asyncio.get_running_loop().remove_signal_handler(DUMP_SIGNAL)

    asyncio.run(main())
    assert msgspec.json.decode(path.read_bytes())["state"] == "on"
    assert [item.name for item in tmp_path.iterdir()] == [path.name]


def test_missing_folder_raises_dump_error(tmp_path: Path) -> None:
    """Guards against an OSError that terminates the daemon."""
    with pytest.raises(DumpError, match="No such file"):
        StateDump(tmp_path / "absent", "e1").write()
