"""HTTP calls of an agent to its worker over the platform's interface."""

import asyncio
from typing import Any

import msgspec
from aiosonic import HTTPClient
from aiosonic.timeout import Timeouts

from cicadatray.internal.agent.tasks.errors import (
    WorkerReplacedError,
    WorkerUnansweredError,
    WorkerUnreachableError,
)
from cicadatray.internal.agent.tasks.worker_clock import WorkerClock
from cicadatray.internal.agent.tasks.worker_port import StartAnswer, WorkerView
from cicadatray.internal.http_client import build_keep_alive_client
from cicadatray.internal.wire.messages.graph_messages import RunOrder
from cicadatray.platform.errors import DocumentError
from cicadatray.platform.fields import MS_PER_S, parse_json, read_number, read_string
from cicadatray.platform.worker_document import decode_view
from cicadatray.scheduling.taskgraphs.task_id import TaskRun

# The worker runs on the same instance and answers within milliseconds.
ORDER_TIMEOUT_S = 0.8
# Above the longest wait for the end of a run; each call has a shorter timeout of its own.
MAX_CALL_S = 4.0
# Orders are sent concurrently with the call that waits for the end of a run.
WORKER_CONNECTIONS = 32
WRONG_INCARNATION_STATUS = 421
CONFLICT_STATUS = 409
UNHEALTHY_STATUSES = (429, 503)
# The reason in a 409 response to an order whose lease has expired on the worker's clock.
LATE_REASON = "late"


class WorkerHttpPort:
    """A `WorkerPort` for one incarnation of a worker.

    Each order times out after `order_timeout_s`.
    """

    __slots__ = ("base_url", "client", "clock", "order_timeout_s", "worker_id")

    def __init__(
        self, worker_id: str, host: str, port: int, order_timeout_s: float = ORDER_TIMEOUT_S
    ) -> None:
        self.order_timeout_s = order_timeout_s
        self.client = _new_client(order_timeout_s)
        self.worker_id = worker_id
        self.base_url = f"http://{host}:{port}/cicadatray"
        self.clock = WorkerClock()

    def clock_s(self) -> float:
        return self.clock.lower_bound_s(_now_s())

    async def start(self, order: RunOrder, token: int, lease_until_s: float) -> StartAnswer:
        body: dict[str, Any] = {
            "Task": str(order.run.task),
            "Run": order.run.run,
            "Spec": order.spec,
            # The end of the lease on the worker's clock.
            "UntilMs": int(lease_until_s * MS_PER_S),
            # The term of the control leader; the worker refuses lower ones.
            "FencingToken": token,
        }
        if order.checkpoint:
            body["Checkpoint"] = order.checkpoint
        status, content = await self._send("run-start", body, self.order_timeout_s)
        if status == 200:
            return StartAnswer.ACCEPTED
        if status in UNHEALTHY_STATUSES:
            return StartAnswer.UNHEALTHY
        if status == CONFLICT_STATUS and _reason(content) == LATE_REASON:
            return StartAnswer.LEASE_OVER
        if 400 <= status < 500:
            return StartAnswer.REFUSED
        raise WorkerUnansweredError(f"run-start returned status {status}")

    async def stop(self, run: TaskRun, token: int) -> None:
        body = {"Task": str(run.task), "Run": run.run, "FencingToken": token}
        status, content = await self._send("run-stop", body, self.order_timeout_s)
        if status != 200:
            raise WorkerUnansweredError(
                f"run-stop returned status {status}, reason {_reason(content)}"
            )

    async def observe(
        self, token: int, committed_end_number: int, lease_until_s: float, wait_s: float
    ) -> WorkerView:
        # SeenUpto is the highest number of a run end that control has committed, not only received;
        # the worker lists later ends only.
        body: dict[str, Any] = {"FencingToken": token, "SeenUpto": committed_end_number}
        if lease_until_s:
            body["UntilMs"] = int(lease_until_s * MS_PER_S)
        if wait_s:
            body["WaitMs"] = int(wait_s * MS_PER_S)
        status, content = await self._send("hold", body, self.order_timeout_s + wait_s)
        if status != 200:
            raise WorkerUnansweredError(f"hold returned status {status}")
        try:
            view, _ = decode_view(content)
        except DocumentError as error:
            raise WorkerUnansweredError(str(error)) from error
        return view

    async def close(self) -> None:
        await self.client.connector.cleanup()

    async def _send(self, call: str, body: dict[str, Any], timeout_s: float) -> tuple[int, bytes]:
        headers = {"Content-Type": "application/json", "Expect-Instance": self.worker_id}
        client = self.client
        try:
            async with asyncio.timeout(timeout_s):
                response = await client.request(
                    f"{self.base_url}/{call}",
                    "POST",
                    headers=headers,
                    data=msgspec.json.encode(body),
                )
                content: bytes = await response.content()
        except ConnectionRefusedError as error:
            self._replace_client(client)
            raise WorkerUnreachableError(f"{call}: {error}") from error
        except Exception as error:
            # aiosonic raises exceptions of many unrelated types.
            self._replace_client(client)
            raise WorkerUnansweredError(f"{call}: {type(error).__name__} {error}") from error
        if response.status_code == WRONG_INCARNATION_STATUS:
            raise WorkerReplacedError(f"{call}: incarnation {self.worker_id} has been replaced")
        self._record_clock(content)
        return response.status_code, content

    def _replace_client(self, client: HTTPClient) -> None:
        """Replaces the client, since a failed request makes its pooled connections unusable."""
        if self.client is client:
            self.client = _new_client(self.order_timeout_s)

    def _record_clock(self, content: bytes) -> None:
        try:
            clock_s = read_number(parse_json(content), "ClockMs", 0) / MS_PER_S
        except DocumentError:
            # Some error responses have no body; other responses report the clock.
            return
        if clock_s:
            self.clock.observe(clock_s, _now_s())


def _new_client(order_timeout_s: float) -> HTTPClient:
    longest_s = max(MAX_CALL_S, order_timeout_s)
    timeouts = Timeouts(
        sock_connect=order_timeout_s, sock_read=longest_s, request_timeout=longest_s
    )
    return build_keep_alive_client(timeouts, WORKER_CONNECTIONS)


def _reason(content: bytes) -> str:
    try:
        return read_string(parse_json(content), "Reason", "")
    except DocumentError:
        return ""


def _now_s() -> float:
    return asyncio.get_running_loop().time()
