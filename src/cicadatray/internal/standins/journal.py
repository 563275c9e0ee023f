"""Journals of stand-ins in JSON lines, which bench programs read afterwards."""

import time
from pathlib import Path

import msgspec


class JournalEvent(msgspec.Struct, frozen=True, omit_defaults=True):
    """An event; `at_s` is the monotonic clock, which all processes of one machine share."""

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
    """Returns all events of a journal except a last line truncated by a kill."""
    events = []
    for line in path.read_bytes().splitlines(keepends=True):
        if line.endswith(b"\n"):
            events.append(msgspec.json.decode(line, type=JournalEvent))
    return events
