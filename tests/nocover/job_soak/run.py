"""Runs of tasks on the workers of a soak."""

import asyncio
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from nocover.job_soak.worker import Worker


class Run:
    """One run of a task on a worker; `worker_lapses` counts the lapses of the worker's lease."""

    __slots__ = ("job_id", "number", "started_s", "step", "task", "timer", "work_s", "worker")

    def __init__(self, worker: "Worker", task: str, number: int) -> None:
        self.worker = worker
        self.task = task
        self.number = number
        job_id, _, step, _ = task.split(".")
        self.job_id = job_id
        self.step = int(step)
        self.started_s = time.monotonic()
        self.work_s = 0.0
        self.timer: asyncio.TimerHandle | None = None

    @property
    def key(self) -> tuple[int, int]:
        """The numbers of the step and of the task."""
        return self.step, int(self.task.rpartition(".")[2])

    def end_after(self, delay_s: float, how: str) -> None:
        """Ends the run after this time, in place of an end that was planned before."""
        self.cancel_end()
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(delay_s, self.worker.end, self, how)

    def cancel_end(self) -> None:
        """Takes the planned end back."""
        if self.timer is not None:
            self.timer.cancel()

    def row(self) -> list[object]:
        """Returns the row of the run in the worker's list."""
        worked_s = time.monotonic() - self.started_s
        percent = min(99, int(100 * worked_s / self.work_s)) if self.work_s else 0
        return [self.task, self.number, "", percent, 100]
