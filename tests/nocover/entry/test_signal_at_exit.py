"""A stop signal that reaches a process which has already stopped."""

import subprocess
import sys

import pytest

PROGRAM = """
import asyncio, os, signal
from types import SimpleNamespace
from cicadatray.internal.daemon import main

async def run(stop):
    await asyncio.sleep(0)

dump = SimpleNamespace(register=lambda *_: None, install_signal=lambda _: None)
main.build_daemon = lambda settings: SimpleNamespace(dump=dump, run=run)
asyncio.run(main.serve(None))
os.kill(os.getpid(), signal.{name})
"""


@pytest.mark.parametrize("name", ["SIGTERM", "SIGINT"])
def test_signal_at_exit_leaves_the_exit_code(name: str) -> None:
    """Guards against exit code -15 after a complete stop, because a third signal came at the end.

    The event loop removes the handlers of signals when it is closed.
    """
    program = PROGRAM.replace("{name}", name)
    assert subprocess.run([sys.executable, "-c", program]).returncode == 0
