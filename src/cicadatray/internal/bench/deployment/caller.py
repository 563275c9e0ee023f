"""A caller of the HTTP interface that resends through another entry after a lost answer."""

import asyncio
import random

import msgspec
from aiosonic.timeout import Timeouts

from cicadatray.internal.http_client import build_http_client

CONNECT_TIMEOUT_S = 1.0
CONNECTION_LIMIT = 100
# In production the load balancer removes a frozen entry after a few failed health checks; here this
# timeout takes its place.
ANSWER_TIMEOUT_S = 12.0
RESEND_LIMIT = 40
RESEND_PAUSE_S = 0.3
OUTCOME_HEADER = "cicadatray-outcome"
CODE_HEADER = "cicadatray-code"
LOST = "lost"
NOT_SENT_ERRORS = frozenset({"ConnectionRefusedError", "ConnectTimeout"})


class CallerAnswer(msgspec.Struct, frozen=True):
    """The answer to one request.

    `outcome` is the value of the outcome header, `error` for an answer without it, or `lost`.
    """

    status_code: int
    outcome: str
    code: str
    body: bytes
    retry_after_s: float = 0.0


class BrokenSend(msgspec.Struct, frozen=True):
    """A request whose connection was lost after it had been opened.

    `at_s` is read from the machine's monotonic clock.
    """

    subject: str
    at_s: float
    in_flight_s: float


class Caller:
    """Sends requests with one credential to entries chosen at random.

    `broken_sends` lists sends whose connection was lost after it had been opened.
    """

    __slots__ = ("client", "broken_sends", "credential", "random", "urls")

    def __init__(self, urls: list[str], credential: str, seed: int = 0) -> None:
        self.urls = urls
        self.credential = credential
        self.broken_sends: list[BrokenSend] = []
        self.random = random.Random(seed)
        timeouts = Timeouts(
            sock_connect=CONNECT_TIMEOUT_S,
            sock_read=ANSWER_TIMEOUT_S,
            request_timeout=ANSWER_TIMEOUT_S,
        )
        self.client = build_http_client(timeouts, CONNECTION_LIMIT)

    async def send_once(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        url: str | None = None,
    ) -> CallerAnswer:
        """Sends a request once; if no answer arrives, the outcome is `lost`."""
        request_headers = {"Authorization": f"Bearer {self.credential}", **(headers or {})}
        started_s = asyncio.get_running_loop().time()
        target = (url or self.random.choice(self.urls)) + path
        try:
            response = await self.client.request(
                target, method, headers=request_headers, data=body or None
            )
            content: bytes = await response.content()
        except Exception as error:
            # The library raises many unrelated types when a connection is lost.
            name = type(error).__name__
            if name not in NOT_SENT_ERRORS:
                self._record_broken_send(request_headers, started_s)
            return CallerAnswer(0, LOST, name, b"")
        retry_after = response.headers.get("retry-after") or "0"
        return CallerAnswer(
            status_code=response.status_code,
            outcome=response.headers.get(OUTCOME_HEADER) or "error",
            code=response.headers.get(CODE_HEADER) or "",
            body=content,
            retry_after_s=float(retry_after),
        )

    def _record_broken_send(self, headers: dict[str, str], started_s: float) -> None:
        now_s = asyncio.get_running_loop().time()
        subject = headers.get("Idempotency-Key", "")
        self.broken_sends.append(BrokenSend(subject, now_s, now_s - started_s))

    async def send(
        self, method: str, path: str, body: bytes = b"", headers: dict[str, str] | None = None
    ) -> CallerAnswer:
        """Sends a request and resends it unchanged after a lost answer or a `Retry-After`."""
        answer = CallerAnswer(0, LOST, "", b"")
        for _ in range(RESEND_LIMIT):
            answer = await self.send_once(method, path, body, headers)
            if answer.outcome != LOST and answer.retry_after_s == 0:
                return answer
            await asyncio.sleep(answer.retry_after_s or RESEND_PAUSE_S)
        return answer
