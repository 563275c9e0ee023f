"""A signal that reaches a process of the platform which has already stopped."""

import subprocess
import sys

import pytest

PROGRAM = """
import asyncio, os, signal
from types import SimpleNamespace
from cicadatray.internal.observability.metrics_registry import MetricsRegistry
from cicadatray.platform import main as module

async def run(stop):
    await asyncio.sleep(0)

settings = SimpleNamespace(
    role="agent", name="a", ip="127.0.0.1", is_bootstrap=False, seeds=()
)
module.load_platform_settings = lambda path: settings
module.ROLE_MODULES["agent"] = module.__name__
module.METRICS_PORTS["agent"] = 0
program = SimpleNamespace(run=run, reload=print, metrics=MetricsRegistry())
module.role_factories["agent"] = lambda _: program
module.main()
os.kill(os.getpid(), signal.{name})
"""


@pytest.mark.parametrize("name", ["SIGTERM", "SIGINT", "SIGHUP"])
def test_signal_at_exit_leaves_the_exit_code(name: str) -> None:
    """Guards against an exit code such as -15 after a complete stop, which looks like a crash.

    The event loop removes the handlers of signals when it is closed.
    """
    program = PROGRAM.replace("{name}", name)
    assert subprocess.run([sys.executable, "-c", program]).returncode == 0
