"""Tests of the bounded log stream."""

import os

import pytest
import structlog

from cicadatray.internal.observability import bounded_log_stream
from cicadatray.internal.observability.bounded_log_stream import BoundedLogStream
from cicadatray.internal.observability.counter import Counter
from cicadatray.internal.observability.logging import configure_logging
from cicadatray.internal.settings.common import LoggingSettings


def test_stalled_reader_does_not_block_writes() -> None:
    """Guards against a process that stops answering while it waits for the reader of its log."""
    read_end, write_end = os.pipe()
    stream = BoundedLogStream(write_end)
    lines_per_s = bounded_log_stream.LINES_PER_S
    stream.window_lines = -1000 * lines_per_s
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


def test_lines_above_the_rate_limit_are_dropped(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a flood of refusals that uses up the reader's processor and disk."""
    monkeypatch.setattr(bounded_log_stream.time, "monotonic", lambda: 5.0)
    read_end, write_end = os.pipe()
    stream = BoundedLogStream(write_end)
    for number in range(bounded_log_stream.LINES_PER_S + 7):
        stream.write(f"{number}\n")
    assert stream.dropped == 7
    os.close(read_end)
    os.close(write_end)


def test_structlog_writes_to_the_stream() -> None:
    """Guards against a stream without weak references, which the logging library needs."""
    read_end, write_end = os.pipe()
    try:
        configure_logging(LoggingSettings(), "control", "c1", BoundedLogStream(write_end))
        structlog.get_logger().info("event", reason="why")
        assert b'"reason":"why"' in os.read(read_end, 4096)
    finally:
        structlog.reset_defaults()
        os.close(read_end)
        os.close(write_end)
