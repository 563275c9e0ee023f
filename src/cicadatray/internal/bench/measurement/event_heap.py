"""The virtual clock of a measurement run."""

import heapq
from collections.abc import Callable


class EventHeap:
    """Calls functions in order of virtual time; equal times run in the order of scheduling."""

    __slots__ = ("entries", "now_s", "sequence")

    def __init__(self) -> None:
        self.entries: list[tuple[float, int, Callable[[], None]]] = []
        self.now_s = 0.0
        self.sequence = 0

    def call_at(self, at_s: float, action: Callable[[], None]) -> None:
        """Schedules an action; one for a time in the past runs next."""
        self.sequence += 1
        heapq.heappush(self.entries, (max(at_s, self.now_s), self.sequence, action))

    def call_after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedules an action relative to the virtual time."""
        self.call_at(self.now_s + delay_s, action)

    def run(self, until_s: float, finished: Callable[[], bool]) -> None:
        """Runs events until the time is reached, none is left or `finished` returns true."""
        while self.entries and not finished():
            if self.entries[0][0] > until_s:
                self.now_s = until_s
                return
            self.now_s, _, action = heapq.heappop(self.entries)
            action()
