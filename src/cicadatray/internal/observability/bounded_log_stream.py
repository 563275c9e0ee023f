"""A log stream that never blocks and limits the lines per second."""

import os
import time

from cicadatray.internal.observability.counter import Counter

# Fits the burst of decisions of one scheduling round in a large deployment, but not a flood of
# refusals.
LINES_PER_S = 300
# Writes to a pipe are atomic only up to 4096 bytes; longer ones may be truncated when the reader
# is slow.
LINE_LIMIT_BYTES = 4000


class BoundedLogStream:
    """Writes whole lines to a non-blocking descriptor and counts the lines that it drops.

    `dropped` is the number of lines dropped so far, `dropped_counted` how many of them have been
    added to a counter. `window_lines` lines were written in the second that began at
    `window_start_s`, on the monotonic clock.
    """

    __slots__ = (
        "__weakref__",
        "buffer",
        "descriptor",
        "dropped",
        "dropped_counted",
        "window_lines",
        "window_start_s",
    )

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self.descriptor = descriptor
        self.buffer = ""
        self.dropped = 0
        self.dropped_counted = 0
        self.window_start_s = 0
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
        """Increments the counter by the number of lines dropped since the previous call."""
        counter.increment(self.dropped - self.dropped_counted)
        self.dropped_counted = self.dropped

    def _write_line(self, line: str) -> None:
        window_start_s = int(time.monotonic())
        if window_start_s != self.window_start_s:
            self.window_start_s = window_start_s
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
