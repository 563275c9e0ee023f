"""Journals of stand-ins as JSON lines, which bench programs read afterwards."""

import time
from pathlib import Path

import msgspec


class JournalEvent(msgspec.Struct, frozen=True, omit_defaults=True):
    """An event; `at_s` is the monotonic clock, which all processes of one machine share.

    `subject` names the request or task. `count` is the number of running requests at an endpoint,
    or the number of accelerators of a task.
    """

    at_s: float
    source: str
    event: str
    subject: str
    epoch: int = 0
    count: int = 0


class Journal:
    """Appends events to a file; each is passed to the operating system before `record` returns."""

    __slots__ = ("file", "source")

    def __init__(self, path: Path, source: str) -> None:
        self.source = source
        self.file = path.open("ab", buffering=0)

    def record(self, event: str, subject: str, epoch: int = 0, count: int = 0) -> None:
        """Appends one event."""
        journal_event = JournalEvent(time.monotonic(), self.source, event, subject, epoch, count)
        self.file.write(msgspec.json.encode(journal_event) + b"\n")


def read_journal(path: Path) -> list[JournalEvent]:
    """Returns all events of a journal except a last line truncated when its process was killed."""
    events = []
    for line in path.read_bytes().splitlines(keepends=True):
        if line.endswith(b"\n"):
            events.append(msgspec.json.decode(line, type=JournalEvent))
    return events
