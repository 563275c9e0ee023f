"""Tasks of the stand-in worker."""

import asyncio

RESERVED = "prepared"
RUNNING = "running"
FINISHED = "finished"
FAILED = "failed"
STOPPED = "stopped"


class StandinTask:
    """A task of the stand-in worker; `lease_until_s` and `started_s` are event loop times."""

    __slots__ = (
        "accelerators",
        "epoch",
        "lease_until_s",
        "payload",
        "runner",
        "started_s",
        "state",
        "task_id",
    )

    def __init__(self, task_id: str, epoch: int, accelerators: int, payload: str) -> None:
        self.task_id = task_id
        self.epoch = epoch
        self.accelerators = accelerators
        self.payload = payload
        self.state = RESERVED
        self.lease_until_s = 0.0
        self.started_s = 0.0
        self.runner: asyncio.Task[None] | None = None

    def holds_accelerators(self) -> bool:
        """Returns whether the task occupies its accelerators."""
        return self.state in (RESERVED, RUNNING)
