"""Runs a case and turns its outcome into an exit status."""

import asyncio
import os
import signal
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from common_2.deployment import CannotRunError, Deployment
from common_2.record import Record

HELD, BROKEN, CANNOT_RUN = 0, 1, 2
LIMIT_S = 110.0


def run_case(
    folder: Path,
    play: Callable[[Deployment, bool], Awaitable[list[str]]],
    minions: int,
    work_s: float,
    tells_born: bool = False,
) -> int:
    """Plays a case on a new deployment; `play` returns how the rule was broken, if it was."""
    record = Record(folder / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"trouble: {'yes' if has_trouble else 'no'}")
    try:
        deployment = Deployment(record, minions, work_s, tells_born)
    except (CannotRunError, OSError) as error:
        record.write(f"cannot run: {error}")
        return CANNOT_RUN

    async def play_all() -> list[str]:
        async with asyncio.timeout(LIMIT_S):
            try:
                await deployment.start()
                return await play(deployment, has_trouble)
            finally:
                deployment.crash_minions()

    def on_stop(*_: object) -> None:
        raise SystemExit(CANNOT_RUN)

    signal.signal(signal.SIGTERM, on_stop)
    try:
        breaks = asyncio.run(play_all())
    except Exception:
        record.write(f"cannot run: {traceback.format_exc()}")
        return CANNOT_RUN
    finally:
        deployment.stop()
    for text in breaks:
        record.write(f"BROKEN {text}")
        print(f"broken: {text}")
    record.write("the rule was broken" if breaks else "the rule held")
    return BROKEN if breaks else HELD


def main(
    file: str,
    play: Callable[[Deployment, bool], Awaitable[list[str]]],
    minions: int,
    work_s: float,
    tells_born: bool = False,
) -> None:
    """Runs a case and exits with its status."""
    sys.exit(run_case(Path(file).resolve().parent, play, minions, work_s, tells_born))
