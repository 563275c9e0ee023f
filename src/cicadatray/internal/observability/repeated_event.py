"""Log lines of something that fails again and again."""

import asyncio

import structlog

log = structlog.get_logger(__name__)


class RepeatedEvent:
    """Logs the first of equal failures, and their number once they have ended.

    Failures are equal when their `kind` is. A text that names another address each time is no
    kind: it goes into the fields of the line.
    """

    __slots__ = ("began_s", "count", "event", "kind")

    def __init__(self, event: str) -> None:
        self.event = event
        self.kind = ""
        self.count = 0
        self.began_s = 0.0

    def record_failure(self, kind: str, **fields: object) -> None:
        """Notes a failure; logs it unless it repeats the one before."""
        if self.count and kind == self.kind:
            self.count += 1
            return
        self.record_end()
        self.kind = kind
        self.count = 1
        self.began_s = asyncio.get_running_loop().time()
        log.info(self.event, kind=kind, **fields)

    def record_end(self) -> None:
        """Logs how often and how long it failed, if it did."""
        if not self.count:
            return
        duration_s = asyncio.get_running_loop().time() - self.began_s
        log.info(
            f"{self.event}, ended",
            kind=self.kind,
            count=self.count,
            duration_s=round(duration_s, 2),
        )
        self.count = 0
