"""The record of what was sent, answered and run."""

import time
from pathlib import Path


class Record:
    """Writes lines with the time since the start to a file."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.started_s = time.monotonic()

    def now_s(self) -> float:
        """Returns the seconds since the start of the case."""
        return time.monotonic() - self.started_s

    def write(self, text: str) -> None:
        """Adds a line."""
        self.file.write(f"{self.now_s():8.3f} {text}\n")
        self.file.flush()
