"""Log lines that must neither block nor grow without bound."""

import os

import pytest
import structlog

from cicadatray.internal.observability import bounded_log_stream
from cicadatray.internal.observability.bounded_log_stream import BoundedLogStream
from cicadatray.internal.observability.counter import Counter
from cicadatray.internal.observability.logging import configure_logging
from cicadatray.internal.settings.common import LoggingSettings


def test_reader_that_does_not_read_blocks_nothing() -> None:
    """A process that waits for the reader of its log answers nobody meanwhile."""
    read_end, write_end = os.pipe()
    stream = BoundedLogStream(write_end)
    bounded_limit = bounded_log_stream.LINES_PER_S
    stream.window_lines = -1000 * bounded_limit
    for _ in range(1000):
        stream.write("x" * 1000 + "\n")
    assert stream.dropped > 0
    lines = os.read(read_end, 1 << 20).decode().splitlines()
    assert {len(line) for line in lines} == {1000}
    counter = Counter("dropped_total", "", ())
    stream.count_dropped(counter)
    stream.count_dropped(counter)
    assert counter.label_sets.values[()] == stream.dropped
    os.close(read_end)
    os.close(write_end)


def test_storm_of_lines_is_cut(monkeypatch: pytest.MonkeyPatch) -> None:
    """A storm of refusals must not use up the processor and the disk of its reader."""
    monkeypatch.setattr(bounded_log_stream.time, "monotonic", lambda: 5.0)
    read_end, write_end = os.pipe()
    stream = BoundedLogStream(write_end)
    for number in range(bounded_log_stream.LINES_PER_S + 7):
        stream.write(f"{number}\n")
    assert stream.dropped == 7
    os.close(read_end)
    os.close(write_end)


def test_structlog_writes_to_it() -> None:
    """The logging library keeps weak references to its streams."""
    read_end, write_end = os.pipe()
    try:
        configure_logging(LoggingSettings(), "control", "c1", BoundedLogStream(write_end))
        structlog.get_logger().info("event", reason="why")
        assert b'"reason":"why"' in os.read(read_end, 4096)
    finally:
        structlog.reset_defaults()
        os.close(read_end)
        os.close(write_end)
