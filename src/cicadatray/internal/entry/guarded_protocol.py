"""The HTTP protocol of the entry, with limits for stalled and malformed callers."""

import asyncio
from typing import Any

import h11
import msgspec
from uvicorn.protocols.http.h11_impl import H11Protocol

from cicadatray.internal.entry.http_responses import CODE_HEADER, JSON_TYPE, ErrorBody

MAX_HEADER_BYTES = 16 * 1024
# uvicorn limits the idle time between requests, but neither the time until the first request nor
# the time that a request header takes.
HEADER_TIMEOUT_S = 10.0
MAX_CONNECTIONS = 512
ANSWERABLE_STATES = (h11.IDLE, h11.SEND_RESPONSE)


class GuardedProtocol(H11Protocol):
    """An HTTP/1.1 protocol that limits connections and request headers.

    It answers a slow header with 408, one that is too large with 431, a malformed one with 400, and
    a connection beyond the limit with 503.
    """

    __slots__ = ("header_timer",)

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.header_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Starts the timer for the first header, or rejects a connection beyond the limit."""
        super().connection_made(transport)
        if len(self.connections) > MAX_CONNECTIONS:
            self._reject(
                503,
                "too_many_connections",
                "the connection limit of this entry is reached",
            )
        else:
            self._start_header_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the header timer."""
        self._cancel_header_timer()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Cancels the timer when a header is complete and starts it for the next header."""
        super().data_received(data)
        if self.conn.their_state is not h11.IDLE:
            self._cancel_header_timer()
        elif self.header_timer is None and not self.transport.is_closing():
            self._start_header_timer()

    def send_400_response(self, msg: str) -> None:
        """Answers a request that is not valid HTTP."""
        if len(self.conn.trailing_data[0]) > MAX_HEADER_BYTES:
            detail = f"the request header exceeds {MAX_HEADER_BYTES} bytes"
            self._reject(431, "header_too_large", detail)
        else:
            self._reject(400, "invalid_http", msg)

    def timeout_keep_alive_handler(self) -> None:
        """Closes an idle connection, even if the caller has not read its response."""
        if self.transport.get_write_buffer_size() > 0:
            self.transport.abort()
        else:
            super().timeout_keep_alive_handler()

    def _start_header_timer(self) -> None:
        self.header_timer = self.loop.call_later(HEADER_TIMEOUT_S, self._on_header_timeout)

    def _cancel_header_timer(self) -> None:
        if self.header_timer is not None:
            self.header_timer.cancel()
            self.header_timer = None

    def _on_header_timeout(self) -> None:
        self.header_timer = None
        if not self.transport.is_closing():
            detail = f"the request header was not received within {HEADER_TIMEOUT_S:.0f} s"
            self._reject(408, "header_too_slow", detail)

    def _reject(self, status_code: int, code: str, detail: str) -> None:
        self._cancel_header_timer()
        if self.conn.our_state in ANSWERABLE_STATES:
            body = msgspec.json.encode(ErrorBody(code, detail))
            headers = [
                ("Content-Type", JSON_TYPE),
                ("Content-Length", str(len(body))),
                (CODE_HEADER, code),
                ("Connection", "close"),
            ]
            for event in (
                h11.Response(status_code=status_code, headers=headers),
                h11.Data(data=body),
                h11.EndOfMessage(),
            ):
                self.transport.write(self.conn.send(event) or b"")
        self.transport.close()
