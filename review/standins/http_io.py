"""Minimal HTTP/1.1 over asyncio streams, for the stand-ins; only the standard library is used."""

import asyncio
import contextlib
import json
from collections.abc import Awaitable, Callable

Handler = Callable[[str, str, dict[str, str], bytes], Awaitable[tuple[int, object]]]
REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 421: "Misdirected"}


async def call(
    method: str,
    host: str,
    port: int,
    path: str,
    body: object = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 3.0,
    source: str | None = None,
) -> tuple[int, object]:
    """Sends one request on a new connection; returns status 0 if there is no response in time."""
    data = b"" if body is None else json.dumps(body).encode()
    lines = [f"{method} {path} HTTP/1.1", "Connection: close"]
    fields = {"Host": f"{host}:{port}", "Content-Type": "application/json", **(headers or {})}
    fields["Content-Length"] = str(len(data))
    lines += [f"{name}: {value}" for name, value in fields.items()]
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            local = (source, 0) if source else None
            reader, writer = await asyncio.open_connection(host, port, local_addr=local)
            writer.write("\r\n".join([*lines, "", ""]).encode() + data)
            await writer.drain()
            status, _, content = await _read_message(reader, is_response=True)
            return status, json.loads(content) if content else None
    except (OSError, ValueError, EOFError, TimeoutError, asyncio.IncompleteReadError):
        return 0, None
    finally:
        if writer is not None:
            writer.close()


async def _read_message(
    reader: asyncio.StreamReader, is_response: bool
) -> tuple[int | tuple[str, str], dict[str, str], bytes]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    words = head[0].split(" ")
    headers = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        content = b""
        while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
            content += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
    else:
        content = await reader.readexactly(int(headers.get("content-length", "0")))
    return (int(words[1]) if is_response else (words[0], words[1])), headers, content


class HttpListener:
    """Serves a handler on one address; `close` resets every connection, as a dead process does."""

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str, port: int) -> None:
        self.server = await asyncio.start_server(self._serve, host, port)

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        with contextlib.suppress(OSError, EOFError, ValueError, asyncio.IncompleteReadError):
            while True:
                (method, path), headers, body = await _read_message(reader, is_response=False)
                status, reply = await self.handler(method, path, headers, body)
                data = b"" if reply is None else json.dumps(reply).encode()
                head = (
                    f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
                    f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
                )
                writer.write(head.encode() + data)
                await writer.drain()
        self.writers.discard(writer)
        writer.close()
