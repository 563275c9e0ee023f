"""Starts a process on the platform."""

import signal
import sys
from pathlib import Path

# A reload that is signalled while the imports still run would end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from cicadatray.platform.main import main  # noqa: E402

main()
