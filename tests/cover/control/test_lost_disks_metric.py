"""Test of the redundancy gauge in the metrics of control."""

import asyncio
from pathlib import Path

import pytest

from cicadatray.internal.control.control_daemon import ControlDaemon
from cicadatray.internal.settings.common import Address, ControlMember
from cicadatray.internal.settings.control_settings import ControlSettings

POLL_S = 0.02
LIMIT_S = 60.0


@pytest.mark.parametrize(("is_leading", "expected"), [(False, "nan"), (True, "0")])
def test_gauge_has_a_value_only_on_the_leader(
    tmp_path: Path, is_leading: bool, expected: str
) -> None:
    """Guards against a follower that reports 0, which means a group without redundancy."""
    settings = ControlSettings(
        name="c1",
        data_centre="d",
        listen=Address("127.0.0.1", 0),
        secret_file="",
        control=(ControlMember("c1", "127.0.0.1", 1),),
        data_folder=str(tmp_path / "data"),
        bootstrap=is_leading,
        dump_folder=str(tmp_path),
    )

    async def main() -> str:
        daemon = ControlDaemon(settings, b"secret")
        stop = asyncio.Event()
        running = asyncio.create_task(daemon.run(stop))
        while is_leading and daemon.session is None:
            await asyncio.sleep(POLL_S)
        text = daemon.metrics.render_text()
        stop.set()
        await running
        return text

    text = asyncio.run(asyncio.wait_for(main(), LIMIT_S))
    assert f"\ncicadatray_lost_disks_borne {expected}\n" in text
