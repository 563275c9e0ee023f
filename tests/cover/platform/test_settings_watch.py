"""Tests of changes of the settings file while a process runs."""

import asyncio
from pathlib import Path

import pytest

from cicadatray.internal.bench.virtual_time_loop import run_virtual
from cicadatray.platform.errors import PlatformSettingsError
from cicadatray.platform.settings import PlatformSettings, load_platform_settings
from cicadatray.platform.settings_watch import POLL_INTERVAL_S, SettingsWatch

TEXT = """
NodeName = "north-1"
Role = "entry"
Ip = "10.0.0.1"
Zone = "north"
InternalPorts = [7000, 7007]
Seeds = ["10.0.0.1:8526"]
Bootstrap = false
[Listen]
[FaultTolerance]
[Bounds]
"""
OTHER = TEXT.replace("10.0.0.1:8526", "10.0.0.2:8526")
INVALID = TEXT.replace("NodeName", "Unnamed")
TORN = TEXT[:40]


@pytest.mark.parametrize("lines", range(TEXT.count("\n")))
def test_beginning_of_a_settings_file_is_refused(lines: int, tmp_path: Path) -> None:
    """Guards against defaults, for example no seeds, from a file that is still being written."""
    path = tmp_path / "settings.toml"
    path.write_text("\n".join(TEXT.split("\n")[:lines]), encoding="utf-8")
    with pytest.raises(PlatformSettingsError):
        load_platform_settings(path)


# Each content stays in place for two polls; None removes the file.
@pytest.mark.parametrize(
    ("contents", "applied"),
    [
        ([TEXT], []),
        ([OTHER], ["10.0.0.2"]),
        ([OTHER, TEXT], ["10.0.0.2", "10.0.0.1"]),
        ([INVALID, OTHER], ["10.0.0.2"]),
        ([TORN, OTHER], ["10.0.0.2"]),
        ([None, OTHER], ["10.0.0.2"]),
    ],
    ids=["unchanged", "changed", "changed twice", "invalid", "half written", "missing"],
)
def test_change_without_a_signal_is_applied_once(
    contents: list[str | None], applied: list[str], tmp_path: Path
) -> None:
    """Guards against a process that keeps seeds which the platform has replaced silently."""
    path = tmp_path / "settings.toml"
    path.write_text(TEXT, encoding="utf-8")
    reloaded: list[PlatformSettings] = []

    async def main() -> None:
        watch = SettingsWatch(path, load_platform_settings(path), reloaded.append)
        running = asyncio.create_task(watch.run())
        for content in contents:
            if content is None:
                path.unlink()
            else:
                path.write_text(content, encoding="utf-8")
            await asyncio.sleep(2 * POLL_INTERVAL_S)
        running.cancel()

    run_virtual(main())
    assert [settings.seeds[0].host for settings in reloaded] == applied


def test_signal_applies_the_file_even_if_it_is_unchanged(tmp_path: Path) -> None:
    """Guards against a reload that an operator requests and that is ignored."""
    path = tmp_path / "settings.toml"
    path.write_text(TEXT, encoding="utf-8")
    reloaded: list[PlatformSettings] = []
    SettingsWatch(path, load_platform_settings(path), reloaded.append).reload()
    assert len(reloaded) == 1
