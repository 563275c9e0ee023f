"""An endpoint in memory."""

import asyncio
import random
from collections import Counter

import msgspec

from cicadatray.internal.agent.endpoint_client import EndpointAnswer
from cicadatray.internal.agent.errors import EndpointFailedError, EndpointUnreachableError

FAILURE_S = 0.001
TRACE_HEADER = "Trace-Id"


class Execution(msgspec.Struct, frozen=True):
    """One run of a request, on behalf of the send with this trace identifier."""

    subject: bytes
    trace_id: str


class SimulatedEndpoint:
    """Replaces `EndpointClient`; a request's body is its subject.

    With `failing` it answers 500 at once, with `truncating` it runs the request and loses the
    answer, and with `refusing` it accepts no connection.
    """

    __slots__ = (
        "answer_bytes",
        "executions",
        "failing",
        "history",
        "peak_running",
        "random",
        "received",
        "refusing",
        "running",
        "service_s",
        "truncating",
    )

    def __init__(self, service_s: float = 0.05, seed: int = 0) -> None:
        self.service_s = service_s
        self.random = random.Random(seed)
        self.failing = False
        self.truncating = False
        self.refusing = False
        self.answer_bytes = 0
        self.received = 0
        self.running = 0
        self.peak_running = 0
        self.executions: Counter[bytes] = Counter()
        self.history: list[Execution] = []

    async def send(self, body: bytes, content_type: str, headers: dict[str, str]) -> EndpointAnswer:
        """Runs one request.

        Raises:
            EndpointUnreachableError: `refusing` is set.
            EndpointFailedError: `truncating` is set.
        """
        if self.refusing:
            raise EndpointUnreachableError("connection refused")
        self.received += 1
        self.executions[body] += 1
        self.history.append(Execution(body, headers[TRACE_HEADER]))
        self.running += 1
        self.peak_running = max(self.peak_running, self.running)
        try:
            jitter = self.random.uniform(0.5, 1.5)
            await asyncio.sleep(FAILURE_S if self.failing else self.service_s * jitter)
        finally:
            self.running -= 1
        if self.truncating:
            raise EndpointFailedError("answer cut short")
        status_code = 500 if self.failing else 200
        return EndpointAnswer(status_code, "text/plain", self.answer_to(body))

    def answer_to(self, body: bytes) -> bytes:
        """Returns the complete answer to a request."""
        return (b"answer to " + body).ljust(self.answer_bytes, b".")
