"""A log stream that never blocks and limits the lines per second."""

import os
import time

from cicadatray.internal.observability.counter import Counter

# Fits the burst of decisions of one scheduling round in a large deployment, but not a flood of
# refusals.
LINES_PER_S = 300
# A slow reader may split longer writes to a pipe: only writes up to 4096 bytes are atomic.
LINE_LIMIT_BYTES = 4000


class BoundedLogStream:
    """Writes whole lines to a non-blocking descriptor and counts the lines that it drops."""

    __slots__ = (
        "__weakref__",
        "buffer",
        "descriptor",
        "dropped",
        "dropped_counted",
        "window_lines",
        "window_s",
    )

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self.descriptor = descriptor
        self.buffer = ""
        self.dropped = 0
        self.dropped_counted = 0
        self.window_s = 0
        self.window_lines = 0

    def write(self, text: str) -> int:
        """Buffers text and writes each line that it completes."""
        *lines, self.buffer = (self.buffer + text).split("\n")
        for line in lines:
            self._write_line(line)
        return len(text)

    def flush(self) -> None:
        """Does nothing: each line is written as soon as it is complete."""

    def isatty(self) -> bool:
        """Returns false: the stream is never a terminal."""
        return False

    def count_dropped(self, counter: Counter) -> None:
        """Adds the number of lines dropped since the last call to a counter."""
        counter.increment(self.dropped - self.dropped_counted)
        self.dropped_counted = self.dropped

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
            # The reader has closed the pipe or is too slow; the line counts as dropped.
            return False
