"""HTTP connections of callers, with limits on what a stalled or malformed caller can hold."""

import asyncio
from typing import Any

import h11
import msgspec
from uvicorn.protocols.http.h11_impl import H11Protocol

from cicadatray.internal.entry.http_answer import CODE_HEADER, JSON_TYPE, ErrorBody

HEADER_LIMIT_BYTES = 16 * 1024
# uvicorn limits the time between requests, but neither the time until the first one nor that of a
# header that comes byte by byte.
HEADER_TIMEOUT_S = 10.0
CONNECTION_LIMIT = 512
ANSWERABLE_STATES = (h11.IDLE, h11.SEND_RESPONSE)


class GuardedProtocol(H11Protocol):
    """Answers slow headers with 408, long ones with 431, malformed ones with 400, and a connection
    beyond the limit with 503."""

    __slots__ = ("header_timer",)

    def __init__(self, *arguments: Any, **named: Any) -> None:
        super().__init__(*arguments, **named)
        self.header_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Starts the time for the first header."""
        super().connection_made(transport)
        if len(self.connections) > CONNECTION_LIMIT:
            self._refuse(503, "too_many_connections", "this entry has no connection left")
        else:
            self._arm()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stops the timer."""
        self._disarm()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Stops the timer when the header is complete; the time of the next one starts with it."""
        super().data_received(data)
        if self.conn.their_state is not h11.IDLE:
            self._disarm()
        elif self.header_timer is None and not self.transport.is_closing():
            self._arm()

    def send_400_response(self, msg: str) -> None:
        """Answers a request that is no valid HTTP."""
        if len(self.conn.trailing_data[0]) > HEADER_LIMIT_BYTES:
            detail = f"at most {HEADER_LIMIT_BYTES} bytes of header are allowed"
            self._refuse(431, "header_too_large", detail)
        else:
            self._refuse(400, "invalid_http", msg)

    def timeout_keep_alive_handler(self) -> None:
        """Closes an idle connection, also one whose caller does not read its answer."""
        if self.transport.get_write_buffer_size() > 0:
            self.transport.abort()
        else:
            super().timeout_keep_alive_handler()

    def _arm(self) -> None:
        self.header_timer = self.loop.call_later(HEADER_TIMEOUT_S, self._on_slow_header)

    def _disarm(self) -> None:
        if self.header_timer is not None:
            self.header_timer.cancel()
            self.header_timer = None

    def _on_slow_header(self) -> None:
        self.header_timer = None
        if not self.transport.is_closing():
            detail = f"the header did not arrive within {HEADER_TIMEOUT_S:.0f} s"
            self._refuse(408, "header_too_slow", detail)

    def _refuse(self, status_code: int, code: str, detail: str) -> None:
        self._disarm()
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
