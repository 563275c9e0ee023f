"""HTTP calls of an agent to its worker over the platform's interface."""

import asyncio
import math
from typing import Any

import msgspec
import structlog
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
from cicadatray.platform.worker_identity import WorkerIdentity
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
# A worker takes longer than this to start again, so no other process can have taken the place of
# one that has answered a call which was sent so short a time ago.
CONFIRMED_FOR_S = 0.3
# The reasons in a 409 response to a start: its lease has expired on the worker's clock, or this run
# of the task or a later one was there before.
CONFLICT_ANSWERS = {"late": StartAnswer.LEASE_OVER, "old": StartAnswer.SUPERSEDED}

log = structlog.get_logger(__name__)


class WorkerHttpPort:
    """A `WorkerPort` for one incarnation of a worker.

    Each order times out after `order_timeout_s`. A call cannot name the incarnation that it is for,
    only the worker's identifier. Before a call that another incarnation must not carry out, the
    port therefore confirms which one answers, unless it did so within `CONFIRMED_FOR_S`.
    Calls that need this at the same time share one attempt, `confirmation`, so that they do not
    wait for each other while the worker is mute. `confirmed_s` is when the last call was sent that
    the incarnation has certainly answered, and `acknowledged_number` the highest number of an end
    that was acknowledged to it.
    """

    __slots__ = (
        "acknowledged_number",
        "base_url",
        "client",
        "clock",
        "confirmation",
        "confirmed_s",
        "identity",
        "order_timeout_s",
        "worker_id",
    )

    def __init__(
        self,
        identity: WorkerIdentity,
        host: str,
        port: int,
        order_timeout_s: float = ORDER_TIMEOUT_S,
    ) -> None:
        self.order_timeout_s = order_timeout_s
        self.client = _new_client(order_timeout_s)
        self.identity = identity
        self.worker_id = identity.incarnation
        self.confirmation: asyncio.Task[WorkerView] | None = None
        self.confirmed_s = -math.inf
        self.acknowledged_number = 0
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
        await self._confirm_incarnation(token)
        status, content = await self._send("run-start", body, self.order_timeout_s)
        if status == 200:
            return StartAnswer.ACCEPTED
        if status in UNHEALTHY_STATUSES:
            return StartAnswer.UNHEALTHY
        if status == CONFLICT_STATUS:
            return CONFLICT_ANSWERS.get(_reason(content), StartAnswer.REFUSED)
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
        # the worker lists later ends only. Another incarnation counts its ends anew.
        if committed_end_number > self.acknowledged_number:
            await self._confirm_incarnation(token)
        seen_up_to = committed_end_number if self._is_confirmed() else 0
        view = await self._hold(token, seen_up_to, lease_until_s, wait_s)
        self.acknowledged_number = max(self.acknowledged_number, seen_up_to)
        return view

    async def _confirm_incarnation(self, token: int) -> None:
        """Makes sure that this incarnation answers at the address.

        Raises:
            WorkerUnansweredError: no answer came, so nothing is known.
            WorkerReplacedError: another incarnation answered.
        """
        if self._is_confirmed():
            return
        if self.confirmation is None or self.confirmation.done():
            self.confirmation = asyncio.create_task(self._hold(token, 0, 0.0, 0.0))
            self.confirmation.add_done_callback(_mark_retrieved)
        await asyncio.shield(self.confirmation)
        if not self._is_confirmed():
            raise WorkerUnansweredError(f"{self.worker_id} was not confirmed in time")

    def _is_confirmed(self) -> bool:
        return not self.identity.born_ms or _now_s() - self.confirmed_s < CONFIRMED_FOR_S

    async def _hold(
        self, token: int, seen_up_to: int, lease_until_s: float, wait_s: float
    ) -> WorkerView:
        sent_s = _now_s()
        body: dict[str, Any] = {"FencingToken": token, "SeenUpto": seen_up_to}
        if lease_until_s:
            body["UntilMs"] = int(lease_until_s * MS_PER_S)
        if wait_s:
            body["WaitMs"] = int(wait_s * MS_PER_S)
        status, content = await self._send("hold", body, self.order_timeout_s + wait_s)
        if status != 200:
            raise WorkerUnansweredError(f"hold returned status {status}")
        try:
            view, _, born_ms = decode_view(content)
        except DocumentError as error:
            raise WorkerUnansweredError(str(error)) from error
        if born_ms and self.identity.born_ms and born_ms != self.identity.born_ms:
            raise WorkerReplacedError(f"hold: {self.worker_id} started again at {born_ms} ms")
        self.confirmed_s = max(self.confirmed_s, sent_s)
        return view

    async def close(self) -> None:
        await self.client.connector.cleanup()

    async def _send(self, call: str, body: dict[str, Any], timeout_s: float) -> tuple[int, bytes]:
        headers = {
            "Content-Type": "application/json",
            "Expect-Instance": self.identity.identifier,
        }
        client = self.client
        bound_s = self.clock_s()
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
        self._record_clock(call, content, bound_s)
        return response.status_code, content

    def _replace_client(self, client: HTTPClient) -> None:
        """Replaces the client, since a failed request makes its pooled connections unusable."""
        if self.client is client:
            self.client = _new_client(self.order_timeout_s)

    def _record_clock(self, call: str, content: bytes, bound_s: float) -> None:
        """Records the clock in an answer; `bound_s` was its lower bound when the call was sent."""
        try:
            clock_s = read_number(parse_json(content), "ClockMs", 0) / MS_PER_S
        except DocumentError:
            # Some error responses have no body; other responses report the clock.
            return
        if not clock_s:
            return
        ahead_s = self.clock.observe(clock_s, _now_s(), bound_s)
        if ahead_s:
            log.warning(
                "worker clock behind estimate",
                worker=self.worker_id,
                call=call,
                clock_s=clock_s,
                ahead_s=round(ahead_s, 3),
            )


def _new_client(order_timeout_s: float) -> HTTPClient:
    longest_s = max(MAX_CALL_S, order_timeout_s)
    timeouts = Timeouts(
        sock_connect=order_timeout_s, sock_read=longest_s, request_timeout=longest_s
    )
    return build_keep_alive_client(timeouts, WORKER_CONNECTIONS)


def _mark_retrieved(task: asyncio.Task[WorkerView]) -> None:
    """Prevents a warning if every caller that waited for the task was cancelled."""
    if not task.cancelled():
        task.exception()


def _reason(content: bytes) -> str:
    try:
        return read_string(parse_json(content), "Reason", "")
    except DocumentError:
        return ""


def _now_s() -> float:
    return asyncio.get_running_loop().time()
