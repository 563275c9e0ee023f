"""Runs one case: its verdict is the exit status, 1 if the rule was broken, 0 if it held."""

import asyncio
import signal
import sys
import traceback
from pathlib import Path

from deployment import HAS_TROUBLE, CannotRunError, Deployment, Record

BROKEN, HELD, CANNOT_RUN = 1, 0, 2
# A script may take 120 s.
LIMIT_S = 105.0


def run_case(play, agents, folder):
    """Plays a case on a new deployment, and ends the process with its verdict.

    `play` is called with the deployment and returns a text for each break of the rule.
    """
    record = Record(Path(folder) / "record.txt")
    record.write("with the disruption" if HAS_TROUBLE else "without the disruption")
    status = CANNOT_RUN
    try:
        status = asyncio.run(_play(play, agents, record))
    except (CannotRunError, TimeoutError, OSError) as error:
        record.write(f"the case could not run: {error!r}")
    except Exception:
        record.write(traceback.format_exc())
    record.write(f"exit status {status}")
    sys.exit(status)


async def _play(play, agents, record):
    deployment = Deployment(record, agents)
    task = asyncio.current_task()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    try:
        async with asyncio.timeout(LIMIT_S):
            breaks = await play(deployment)
    except asyncio.CancelledError:
        raise CannotRunError("stopped by a signal") from None
    finally:
        deployment.close()
    for text in breaks:
        record.write(f"BROKEN: {text}")
    if not breaks:
        record.write("the rule held")
    return BROKEN if breaks else HELD
