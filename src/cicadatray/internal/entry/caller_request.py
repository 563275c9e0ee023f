"""A request of a caller, as admitted by the entry."""

import asyncio
import hashlib

DIGEST_BYTES = 16


class CallerRequest:
    """`deadline_s` is event loop time. `abandoned` is set when no caller waits any more."""

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
        self.abandoned = asyncio.Event()

    def remaining_s(self) -> float:
        """Returns what is left of the deadline."""
        return self.deadline_s - asyncio.get_running_loop().time()

    def digest(self) -> bytes:
        """Identifies the content, so that a key cannot be reused for another request."""
        content = b"\0".join((self.service.encode(), self.content_type.encode(), self.body))
        return hashlib.sha256(content).digest()[:DIGEST_BYTES]
