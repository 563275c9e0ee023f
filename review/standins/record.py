"""The record of a case: what was sent, answered and run, with the time of each event."""

import sys
import time
from pathlib import Path


class Record:
    """Writes events to a file; `events` keeps them for the judgement."""

    def __init__(self, path: Path) -> None:
        self.started_s = time.monotonic()
        self.events: list[tuple[float, str, dict[str, object]]] = []
        self.file = path.open("w", encoding="utf-8")

    def now_s(self) -> float:
        return time.monotonic() - self.started_s

    def add(self, kind: str, **fields: object) -> None:
        now_s = self.now_s()
        self.events.append((now_s, kind, fields))
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{now_s:9.3f} {kind:<14} {text}\n")
        self.file.flush()

    def of_kind(self, *kinds: str) -> list[tuple[float, str, dict[str, object]]]:
        return [event for event in self.events if event[1] in kinds]

    def say(self, text: str) -> None:
        self.add("note", text=text)
        print(text, file=sys.stderr, flush=True)
