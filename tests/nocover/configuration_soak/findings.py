"""What a soak has found and counted."""

import time
from collections import Counter

import msgspec


class Finding(msgspec.Struct, frozen=True):
    """A broken promise; `at_s` counts from the start of the play."""

    kind: str
    at_s: float
    detail: str


class Findings:
    """Collects the findings and the counts of one play."""

    __slots__ = ("counts", "events", "found", "started_s")

    def __init__(self) -> None:
        self.started_s = time.monotonic()
        self.found: list[Finding] = []
        self.counts: Counter[str] = Counter()
        self.events: list[str] = []

    def report(self, kind: str, detail: str) -> None:
        """Records a broken promise."""
        self.found.append(Finding(kind, round(time.monotonic() - self.started_s, 3), detail))

    def note(self, event: str) -> None:
        """Records what the soak did, for the timeline of a finding."""
        self.events.append(f"{time.monotonic() - self.started_s:8.3f} {event}")
