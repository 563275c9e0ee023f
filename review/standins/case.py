"""Runs a case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run."""

import asyncio
import os
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from deployment import CaseError, Deployment
from record import Record

LONGEST_S = 110.0
Case = Callable[[Deployment, Record, bool], Awaitable[list[str]]]


def run_case(
    folder: Path, agents: int, case: Case, bounds: dict[str, object] | None = None
) -> None:
    """Runs `case`, which returns the breaks of the rule that it found, and exits."""
    record = Record(folder / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.add("case", folder=folder.name, trouble=has_trouble)
    code = 2
    deployment: Deployment | None = None

    async def run() -> list[str]:
        assert deployment is not None
        try:
            async with asyncio.timeout(LONGEST_S):
                await deployment.start()
                breaks = await case(deployment, record, has_trouble)
        finally:
            await deployment.stop_minions()
        for program in deployment.programs.values():
            is_expected = program.process is None or program.process.poll() in (None, -9)
            if not is_expected:
                record.say(f"{program.name} ended by itself")
        return breaks

    try:
        deployment = Deployment(record, agents, bounds)
        breaks = asyncio.run(run())
        for text in breaks[:20]:
            record.say(f"BROKEN: {text}")
        record.say(f"breaks: {len(breaks)}")
        code = 1 if breaks else 0
    except CaseError as error:
        record.say(f"could not run: {error}")
    except Exception:
        record.say(f"could not run: {traceback.format_exc()}")
    finally:
        if deployment is not None:
            deployment.stop()
        record.add("exit", code=code)
    sys.exit(code)
