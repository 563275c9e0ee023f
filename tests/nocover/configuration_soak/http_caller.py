"""Calls over one connection that stays open until it fails."""

import asyncio
import time

import msgspec

NO_ANSWER = 0


class Answer(msgspec.Struct, frozen=True):
    """An answer, or status `NO_ANSWER`; the times are on the steady clock.

    `decided_by` is what the answer says about the configuration that decided the call.
    """

    status: int
    body: bytes
    sent_s: float
    answered_s: float
    decided_by: str = ""


class HttpCaller:
    """Calls one address; after a failure the next call opens a new connection."""

    __slots__ = ("connection", "host", "port", "timeout_s")

    def __init__(self, host: str, port: int, timeout_s: float) -> None:
        self.host = host
        self.port = port
        self.timeout_s = timeout_s
        self.connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def call(
        self, method: str, path: str, body: bytes = b"", headers: dict[str, str] | None = None
    ) -> Answer:
        """Sends one request and returns its answer."""
        fields = {"Host": self.host, "Content-Type": "application/json", **(headers or {})}
        lines = [f"{method} {path} HTTP/1.1", *(f"{name}: {text}" for name, text in fields.items())]
        request = "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]).encode() + body
        sent_s = time.monotonic()
        # An answer that does not come in time must not be taken for that of the next call.
        connection, self.connection = self.connection, None
        try:
            async with asyncio.timeout(self.timeout_s):
                if connection is None:
                    connection = await asyncio.open_connection(self.host, self.port)
                answer = await _exchange(*connection, request, sent_s)
        except (OSError, EOFError, TimeoutError):
            if connection is not None:
                connection[1].transport.abort()
            return Answer(NO_ANSWER, b"", sent_s, time.monotonic())
        self.connection = connection
        return answer

    def close(self) -> None:
        """Closes the connection."""
        if self.connection is not None:
            self.connection[1].transport.abort()
            self.connection = None


async def _exchange(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, request: bytes, sent_s: float
) -> Answer:
    """Sends a request and reads its answer.

    Raises:
        OSError: the connection was lost.
        EOFError: the connection was closed before the whole answer had come.
    """
    writer.write(request)
    await writer.drain()
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    fields = dict(line.lower().split(": ", 1) for line in head[1:] if line)
    body = await reader.readexactly(int(fields.get("content-length", "0")))
    status = int(head[0].split()[1])
    decided_by = fields.get("configuration-decision", "")
    return Answer(status, body, sent_s, time.monotonic(), decided_by)
