"""A request received from a caller."""

import asyncio
import hashlib
from typing import Any

DIGEST_BYTES = 16


class CallerRequest:
    """A request with its deadline in event loop time.

    The future `abandoned` is set when no caller waits for the outcome any longer.
    """

    __slots__ = (
        "abandoned",
        "body",
        "client_account",
        "content_type",
        "deadline_s",
        "key",
        "non_idempotent",
        "service",
        "trace_id",
    )

    def __init__(
        self,
        client_account: str,
        service: str,
        body: bytes,
        content_type: str,
        key: str,
        non_idempotent: bool,
        deadline_s: float,
        trace_id: str,
    ) -> None:
        self.client_account = client_account
        self.service = service
        self.body = body
        self.content_type = content_type
        self.key = key
        self.non_idempotent = non_idempotent
        self.deadline_s = deadline_s
        self.trace_id = trace_id
        self.abandoned: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def remaining_s(self) -> float:
        """Returns the time until the deadline in seconds, negative after it has passed."""
        return self.deadline_s - asyncio.get_running_loop().time()

    def digest(self) -> bytes:
        """Returns a digest of service and content, to detect a key reused for another request."""
        content = b"\0".join((self.service.encode(), self.content_type.encode(), self.body))
        return hashlib.sha256(content).digest()[:DIGEST_BYTES]

    def abandon(self) -> None:
        """Ends all waits of the request; an attempt that has not started will not be started."""
        if not self.abandoned.done():
            self.abandoned.set_result(None)

    def is_open(self) -> bool:
        """Returns whether a caller still waits and the deadline has not passed."""
        return self.remaining_s() > 0 and not self.abandoned.done()

    async def wait_for(self, future: asyncio.Future[Any]) -> bool:
        """Waits for a future while the request is open and returns whether it is done."""
        await asyncio.wait(
            (future, self.abandoned),
            timeout=max(0.0, self.remaining_s()),
            return_when=asyncio.FIRST_COMPLETED,
        )
        return future.done()

    async def pause(self, pause_s: float) -> None:
        """Sleeps for `pause_s` seconds, or less if the request is closed earlier."""
        await asyncio.wait((self.abandoned,), timeout=max(0.0, min(pause_s, self.remaining_s())))
