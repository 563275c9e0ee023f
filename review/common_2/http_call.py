"""HTTP/1.1 calls of the stand-ins for clients, operators and minions."""

import asyncio
import json
from typing import Any

READ_LIMIT_BYTES = 8 * 1024 * 1024


async def call(
    address: str,
    method: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 3.0,
) -> tuple[int, Any]:
    """Sends one request on a connection of its own.

    Returns the status and the decoded body, or 0 and a reason if no complete response came in time.
    """
    try:
        async with asyncio.timeout(timeout_s):
            return await _call(address, method, path, body, headers or {})
    except (OSError, EOFError, ValueError, TimeoutError) as error:
        return 0, f"{type(error).__name__} {error}"


async def _call(
    address: str, method: str, path: str, body: Any, headers: dict[str, str]
) -> tuple[int, Any]:
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port), limit=READ_LIMIT_BYTES)
    try:
        data = b"" if body is None else json.dumps(body).encode()
        fields = {
            "Host": address,
            "Content-Type": "application/json",
            "Content-Length": str(len(data)),
            "Connection": "close",
            **headers,
        }
        head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        writer.write(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + data)
        await writer.drain()
        status, content = await read_message(reader)
        return int(status.split(" ")[1]), json.loads(content) if content else None
    finally:
        writer.transport.abort()


async def read_message(reader: asyncio.StreamReader) -> tuple[str, bytes]:
    """Returns the first line and the body of a request or response."""
    line, _, body = await read_request(reader)
    return line, body


async def read_request(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Returns the first line, the headers with names in lower case, and the body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    fields = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        if name:
            fields[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(fields.get("content-length", "0")))
    return head[0], fields, body
