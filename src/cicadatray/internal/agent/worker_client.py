"""HTTP calls to the worker of the agent."""

import msgspec
from aiosonic.timeout import Timeouts

from cicadatray.internal.agent.errors import WorkerFailedError
from cicadatray.internal.http_client import build_http_client
from cicadatray.internal.settings.agent_settings import WorkerSettings

CONNECT_TIMEOUT_S = 1.0
REQUEST_TIMEOUT_S = 2.0
CONNECTION_LIMIT = 8
FIRST_ERROR_STATUS = 400


class ReserveOrder(msgspec.Struct, frozen=True):
    """An order to reserve accelerators for a task until its lease expires.

    `lease_until_s` is a time on `CLOCK_BOOTTIME`, which all processes of an instance share and that
    counts the time in suspension. A duration would extend the lease when the order reaches the
    worker late.
    """

    epoch: int
    accelerators: int
    lease_until_s: float
    payload: str


class TaskOrder(msgspec.Struct, frozen=True):
    """An order for one task, which is refused when its epoch is lower than the task's."""

    epoch: int
    lease_until_s: float = 0.0


class WorkerTask(msgspec.Struct, frozen=True):
    """A task in the worker's list; `run_s` may be out of date."""

    task_id: str
    epoch: int
    state: str
    run_s: float


class WorkerTasks(msgspec.Struct, frozen=True):
    """The worker's list of tasks."""

    tasks: tuple[WorkerTask, ...]


class WorkerClient:
    """Client of the worker's task interface."""

    __slots__ = ("base_url", "client")

    def __init__(self, settings: WorkerSettings) -> None:
        timeouts = Timeouts(
            sock_connect=CONNECT_TIMEOUT_S,
            sock_read=REQUEST_TIMEOUT_S,
            request_timeout=REQUEST_TIMEOUT_S,
        )
        self.client = build_http_client(timeouts, CONNECTION_LIMIT)
        self.base_url = f"http://{settings.address.host}:{settings.address.port}/tasks"

    async def reserve(self, task_id: str, order: ReserveOrder) -> None:
        """Reserves accelerators without running anything."""
        await self._send("PUT", f"/{task_id}", msgspec.json.encode(order))

    async def start(self, task_id: str, epoch: int) -> None:
        """Starts a reserved task."""
        await self._order(task_id, "start", TaskOrder(epoch))

    async def renew(self, task_id: str, epoch: int, lease_until_s: float) -> None:
        """Extends the lease to a time on the instance's `CLOCK_BOOTTIME`."""
        await self._order(task_id, "renew", TaskOrder(epoch, lease_until_s))

    async def checkpoint(self, task_id: str, epoch: int) -> None:
        """Writes a checkpoint and returns when it is written."""
        await self._order(task_id, "checkpoint", TaskOrder(epoch))

    async def stop(self, task_id: str, epoch: int) -> None:
        """Stops a task; stopping one that does not exist succeeds."""
        await self._order(task_id, "stop", TaskOrder(epoch))

    async def list_tasks(self) -> tuple[WorkerTask, ...]:
        """Returns all tasks on the worker."""
        content = await self._send("GET", "", b"")
        try:
            return msgspec.json.decode(content, type=WorkerTasks).tasks
        except msgspec.MsgspecError as error:
            raise WorkerFailedError(f"undecodable task list: {error}") from error

    async def close(self) -> None:
        """Closes all connections."""
        await self.client.connector.cleanup()

    async def _order(self, task_id: str, verb: str, order: TaskOrder) -> None:
        await self._send("POST", f"/{task_id}/{verb}", msgspec.json.encode(order))

    async def _send(self, method: str, path: str, body: bytes) -> bytes:
        """Sends one call and returns the body of the answer.

        Raises:
            WorkerFailedError: the worker cannot be reached or refused the call.
        """
        headers = {"Content-Type": "application/json"}
        try:
            response = await self.client.request(
                self.base_url + path, method, headers=headers, data=body or None
            )
            content: bytes = await response.content()
        except Exception as error:
            # The library raises many unrelated exception types for broken answers.
            raise WorkerFailedError(f"{method} {path}: {type(error).__name__} {error}") from error
        if response.status_code >= FIRST_ERROR_STATUS:
            detail = content.decode(errors="replace")
            raise WorkerFailedError(f"{method} {path}: {response.status_code} {detail}")
        return content
