"""Deduplicated logging of repeated failures."""

import asyncio

import structlog

log = structlog.get_logger(__name__)


class RepeatedEvent:
    """Logs the first failure of a series of equal ones, and their number when the series ends.

    Failures are equal when their `kind` is equal. Text that varies between repetitions, for
    example because it contains an address, must be in a field of the log line instead.
    """

    __slots__ = ("count", "event", "kind", "started_s")

    def __init__(self, event: str) -> None:
        self.event = event
        self.kind = ""
        self.count = 0
        self.started_s = 0.0

    def record_failure(self, kind: str, **fields: object) -> None:
        """Counts a failure, and logs it unless it is equal to the previous one."""
        if self.count and kind == self.kind:
            self.count += 1
            return
        self.record_end()
        self.kind = kind
        self.count = 1
        self.started_s = asyncio.get_running_loop().time()
        log.info(self.event, kind=kind, **fields)

    def record_end(self) -> None:
        """Ends a series of failures, if there is one, and logs its count and its duration."""
        if not self.count:
            return
        duration_s = asyncio.get_running_loop().time() - self.started_s
        log.info(
            f"{self.event}, ended",
            kind=self.kind,
            count=self.count,
            duration_s=round(duration_s, 2),
        )
        self.count = 0
