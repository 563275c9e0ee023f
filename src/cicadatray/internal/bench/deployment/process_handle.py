"""A child process of a bench program."""

import signal
import subprocess
import sys
from pathlib import Path

STOP_TIMEOUT_S = 20.0


class ProcessHandle:
    """Runs a module of this package as a child process, and signals no other process."""

    __slots__ = ("arguments", "log_path", "module", "name", "process")

    def __init__(self, name: str, module: str, arguments: list[str], log_path: Path) -> None:
        self.name = name
        self.module = module
        self.arguments = arguments
        self.log_path = log_path
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Starts the process."""
        command = [sys.executable, "-m", self.module, *self.arguments]
        with self.log_path.open("ab") as log_file:
            self.process = subprocess.Popen(
                command, stdin=subprocess.DEVNULL, stdout=log_file, stderr=log_file
            )

    def is_running(self) -> bool:
        """Returns whether the process is running."""
        return self.process is not None and self.process.poll() is None

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal if the process is running."""
        if self.is_running() and self.process is not None:
            self.process.send_signal(number)

    def stop(self) -> int:
        """Requests a planned stop and returns the exit code; kills the process after a timeout."""
        if self.process is None:
            return 0
        self.send_signal(signal.SIGTERM)
        try:
            return self.process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            return self.kill()

    def kill(self) -> int:
        """Kills the process and returns its exit code."""
        if self.process is None:
            return 0
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        return self.process.wait()
