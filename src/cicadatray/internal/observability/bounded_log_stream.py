"""A stream for log lines that neither blocks nor grows without bound."""

import os
import time

from cicadatray.internal.observability.counter import Counter

# A burst of decisions on one round of a large deployment fits; a storm of refusals does not.
LINES_PER_S = 300
# Longer writes to a pipe may be cut in two by a slow reader.
LINE_LIMIT_BYTES = 4000


class BoundedLogStream:
    """Writes whole lines to a descriptor that never blocks, and counts the lines that it drops."""

    __slots__ = (
        "__weakref__",
        "buffer",
        "descriptor",
        "dropped",
        "reported",
        "window_lines",
        "window_s",
    )

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self.descriptor = descriptor
        self.buffer = ""
        self.dropped = 0
        self.reported = 0
        self.window_s = 0
        self.window_lines = 0

    def write(self, text: str) -> int:
        """Takes text and writes the lines that it completes."""
        *lines, self.buffer = (self.buffer + text).split("\n")
        for line in lines:
            self._write_line(line)
        return len(text)

    def flush(self) -> None:
        """Has nothing to flush: each line is written when it is complete."""

    def isatty(self) -> bool:
        """Lines are never meant for a terminal."""
        return False

    def count_dropped(self, counter: Counter) -> None:
        """Adds what was dropped since the last call to a counter."""
        counter.increment(self.dropped - self.reported)
        self.reported = self.dropped

    def _write_line(self, line: str) -> None:
        window_s = int(time.monotonic())
        if window_s != self.window_s:
            self.window_s = window_s
            self.window_lines = 0
        self.window_lines += 1
        data = line.encode(errors="replace")[: LINE_LIMIT_BYTES - 1] + b"\n"
        if self.window_lines > LINES_PER_S or not self._write(data):
            self.dropped += 1

    def _write(self, data: bytes) -> bool:
        try:
            return os.write(self.descriptor, data) == len(data)
        except OSError:
            # Nobody reads, or not fast enough; the counter of dropped lines tells.
            return False
