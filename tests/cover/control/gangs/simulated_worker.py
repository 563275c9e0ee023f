"""A worker whose clock lags behind its agent's by most of the allowed drift."""

import asyncio
from collections.abc import Callable

import msgspec

from cicadatray.internal.agent.errors import WorkerFailedError
from cicadatray.internal.agent.worker_client import ReserveOrder, WorkerTask
from cicadatray.internal.control.leases import CLOCK_DRIFT_MARGIN_S

# Time from the end of a lease to the end of its task, as a slow clock may cause it.
LEASE_END_DELAY_S = CLOCK_DRIFT_MARGIN_S - 0.1
PREPARED = "prepared"
RUNNING = "running"
FINISHED = "finished"
FAILED = "failed"
STOPPED = "stopped"


class _Task:
    __slots__ = ("accelerators", "epoch", "lease_until_s", "run_s", "started_s", "state")

    def __init__(self, order: ReserveOrder) -> None:
        self.epoch = order.epoch
        self.accelerators = order.accelerators
        self.lease_until_s = order.lease_until_s
        self.run_s = float(order.payload)
        self.started_s = 0.0
        self.state = PREPARED

    def update(self, now_s: float) -> None:
        end_s = self.lease_until_s + LEASE_END_DELAY_S
        finish_s = self.started_s + self.run_s
        if self.state == RUNNING and finish_s <= min(now_s, end_s):
            self.state = FINISHED
        elif self.holds_accelerators() and now_s > end_s:
            self.state = STOPPED

    def holds_accelerators(self) -> bool:
        return self.state in (PREPARED, RUNNING)


class SimulatedWorker:
    """Runs tasks under leases.

    It accepts more reservations than it has accelerators, so that the invariants detect them.
    """

    __slots__ = ("accelerators", "on_change", "on_start", "tasks", "worker_id")

    def __init__(
        self,
        worker_id: str,
        accelerators: int,
        on_start: Callable[[str, int], None],
        on_change: Callable[[], None],
    ) -> None:
        self.worker_id = worker_id
        self.accelerators = accelerators
        self.on_start = on_start
        self.on_change = on_change
        self.tasks: dict[str, _Task] = {}

    async def reserve(self, task_id: str, order: ReserveOrder) -> None:
        """Reserves accelerators for a task."""
        existing = self._updated_tasks().get(task_id)
        if existing is not None and existing.epoch > order.epoch:
            raise WorkerFailedError("lower epoch")
        self.tasks[task_id] = _Task(order)
        self.on_change()

    async def start(self, task_id: str, epoch: int) -> None:
        """Starts a reserved task."""
        task = self._find(task_id, epoch)
        if not task.holds_accelerators():
            raise WorkerFailedError("the task has ended")
        if task.state == PREPARED:
            task.state = RUNNING
            task.started_s = asyncio.get_running_loop().time()
            self.on_start(task_id, epoch)
            self.on_change()

    async def renew(self, task_id: str, epoch: int, lease_until_s: float) -> None:
        """Changes the end of a task's lease."""
        self._find(task_id, epoch).lease_until_s = lease_until_s

    async def checkpoint(self, task_id: str, epoch: int) -> None:
        """Accepts a checkpoint of an existing task."""
        self._find(task_id, epoch)

    async def stop(self, task_id: str, epoch: int) -> None:
        """Stops a task; stopping one that does not exist succeeds."""
        task = self._updated_tasks().get(task_id)
        if task is not None and task.epoch <= epoch and task.holds_accelerators():
            task.state = STOPPED

    async def list_tasks(self) -> tuple[WorkerTask, ...]:
        """Returns all tasks."""
        listed = self._updated_tasks().items()
        return tuple(WorkerTask(task_id, t.epoch, t.state, 0.0) for task_id, t in listed)

    def fail(self) -> None:
        """Fails every running task."""
        for task in self._updated_tasks().values():
            if task.state == RUNNING:
                task.state = FAILED

    def stop_all(self) -> None:
        """Stops all tasks, as a loss of the instance does."""
        for task in self._updated_tasks().values():
            if task.holds_accelerators():
                task.state = STOPPED

    def held_accelerators(self) -> int:
        """Returns the accelerators that are reserved or in use."""
        tasks = self._updated_tasks().values()
        return sum(task.accelerators for task in tasks if task.holds_accelerators())

    def running_tasks(self) -> list[tuple[str, int]]:
        """Returns job and epoch of each running task."""
        tasks = self._updated_tasks().items()
        return [(job_id, task.epoch) for job_id, task in tasks if task.state == RUNNING]

    def state_of(self, job_id: str, epoch: int) -> str:
        """Returns the state of a task; an unknown one counts as stopped."""
        task = self._updated_tasks().get(job_id)
        return task.state if task is not None and task.epoch == epoch else STOPPED

    def _updated_tasks(self) -> dict[str, _Task]:
        now_s = asyncio.get_event_loop().time()
        for task in self.tasks.values():
            task.update(now_s)
        return self.tasks

    def _find(self, task_id: str, epoch: int) -> _Task:
        task = self._updated_tasks().get(task_id)
        if task is None or task.epoch != epoch:
            raise WorkerFailedError("no such task")
        return task


def payload_of(run_s: float) -> str:
    """Returns the payload of a job whose tasks run for this long."""
    return msgspec.json.encode(run_s).decode()
