"""Tests of the HTTP client with a server whose response is late."""

import asyncio

import pytest
from aiosonic import HTTPClient
from aiosonic.exceptions import BaseTimeout
from aiosonic.timeout import Timeouts

from cicadatray.internal.http_client import build_http_client

TIMEOUT_S = 0.2
LONG_TIMEOUT_S = 30.0
LATE_REQUEST = 2


class LateServer:
    """Responds to each request with its number, to the second one only once `abandoned` is set."""

    def __init__(self) -> None:
        self.requests = 0
        self.arrived = asyncio.Event()
        self.abandoned = asyncio.Event()
        self.server: asyncio.Server | None = None

    async def start(self) -> str:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return f"http://127.0.0.1:{self.server.sockets[0].getsockname()[1]}/"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                self.requests += 1
                body = str(self.requests).encode()
                if self.requests == LATE_REQUEST:
                    self.arrived.set()
                    await self.abandoned.wait()
                head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
                writer.write(head.encode() + body)
                await writer.drain()
        except (OSError, EOFError):
            pass
        finally:
            writer.close()


async def fetch(client: HTTPClient, url: str) -> bytes:
    response = await client.get(url)
    return bytes(await response.content())


@pytest.mark.parametrize("is_cancelled", [False, True], ids=["timed out", "cancelled"])
def test_late_response_is_not_returned_for_the_next_request(is_cancelled: bool) -> None:
    """Guards against a caller that receives the response to another caller's request."""

    async def main() -> None:
        server = LateServer()
        url = await server.start()
        read_s = LONG_TIMEOUT_S if is_cancelled else TIMEOUT_S
        timeouts = Timeouts(sock_connect=LONG_TIMEOUT_S, sock_read=read_s)
        client = build_http_client(timeouts, connections=1)
        assert await fetch(client, url) == b"1"
        late = asyncio.create_task(fetch(client, url))
        await server.arrived.wait()
        if is_cancelled:
            late.cancel()
        with pytest.raises((BaseTimeout, asyncio.CancelledError)):
            await late
        server.abandoned.set()
        assert await fetch(client, url) == b"3"

    asyncio.run(main())
