"""Runs the platform's start program with faults of its machine: links, disk and time of day.

Arguments: the checkout that holds the program, the folder of the machine, and its address.
"""

import signal
import sys

# A reload that is signalled while the imports still run would end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

import runpy  # noqa: E402
import time  # noqa: E402
from pathlib import Path  # noqa: E402

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from nocover.configuration_soak.durable_copy import DurableCopy  # noqa: E402
from nocover.configuration_soak.faulty_disk import FaultyDisk  # noqa: E402
from nocover.configuration_soak.faulty_links import install_links  # noqa: E402
from nocover.configuration_soak.machine_faults import WatchedFaults  # noqa: E402


def main() -> None:
    """Installs the faults and runs the program."""
    checkout, folder, host = Path(sys.argv[1]), Path(sys.argv[2]), sys.argv[3]
    faults = WatchedFaults(folder / "faults.json")
    install_links(faults, host)
    copy = DurableCopy(folder / "data", folder / "durable")
    FaultyDisk(folder / "data", copy, faults).install()
    true_time = time.time
    time.time = lambda: true_time() + faults.current.clock_step_s
    program = checkout / "deploy" / "launch.py"
    sys.argv = [str(program)]
    runpy.run_path(str(program), run_name="__main__")


main()
