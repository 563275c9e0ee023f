"""The HTTP server of a stand-in for a worker; it can go away as a process does that is killed."""

import asyncio
from collections.abc import Awaitable, Callable

Handler = Callable[[str, dict[str, str], bytes], Awaitable[tuple[int, bytes]]]


class NoAnswerError(Exception):
    """The call gets no answer, and its connection is closed."""


class WorkerListener:
    """Serves a handler of calls at one address; the handler gets path, headers and body."""

    __slots__ = ("handler", "server", "writers")

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def listen(self, host: str, port: int) -> None:
        """Accepts connections."""
        self.server = await asyncio.start_server(self._serve, host, port)

    def abort(self) -> None:
        """Resets all connections and accepts no more."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                fields = dict(line.lower().split(": ", 1) for line in head[1:] if line)
                body = await reader.readexactly(int(fields.get("content-length", "0")))
                status, answer = await self.handler(head[0].split(" ")[1], fields, body)
                start = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                writer.write(f"{start}Content-Length: {len(answer)}\r\n\r\n".encode() + answer)
                await writer.drain()
        except (OSError, EOFError, NoAnswerError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()
