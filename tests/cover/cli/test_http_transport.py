"""Tests of single HTTP attempts against a server that sends raw bytes."""

import asyncio

import pytest

from cicadatray.internal.cli.entry_request import EntryRequest
from cicadatray.internal.cli.entry_response import EntryResponse
from cicadatray.internal.cli.errors import AnswerLostError, EntryUnreachableError
from cicadatray.internal.cli.http_transport import HttpTransport

REQUEST = EntryRequest("POST", "/x", b"body", {"Idempotency-Key": "k"}, timeout_s=5.0)


async def exchange(raw_response: bytes) -> EntryResponse:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        assert b"Authorization: Bearer c\r\n" in head
        await reader.readexactly(4)
        writer.write(raw_response)
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    transport = HttpTransport("c")
    try:
        port = server.sockets[0].getsockname()[1]
        return await transport.send(f"http://127.0.0.1:{port}", REQUEST)
    finally:
        await transport.close()
        server.close()


@pytest.mark.parametrize(
    ("raw_response", "body"),
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nA-B: c\r\n\r\nok", b"ok"),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nA-B: c\r\n\r\n", b""),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nA-B: c\r\n\r\n2\r\nok\r\n0\r\n\r\n",
            b"ok",
        ),
    ],
)
def test_complete_response(raw_response: bytes, body: bytes) -> None:
    """Guards against common forms of responses that are decoded incorrectly."""
    response = asyncio.run(exchange(raw_response))
    assert (response.status_code, response.body, response.headers["a-b"]) == (200, body, "c")


@pytest.mark.parametrize(
    "raw_response",
    [
        b"",
        b"HTTP/1.1 200",
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort",
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nshort",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        b"not http\r\n\r\n",
    ],
)
def test_incomplete_response_is_lost(raw_response: bytes) -> None:
    """Guards against a truncated body that is returned as a complete response."""
    with pytest.raises(AnswerLostError):
        asyncio.run(exchange(raw_response))


def test_refused_connection_is_not_a_lost_answer() -> None:
    """Guards against "outcome unknown" for a request that was never sent."""

    async def main() -> None:
        server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        server.close()
        await server.wait_closed()
        transport = HttpTransport("c")
        try:
            await transport.send(f"http://127.0.0.1:{port}", REQUEST)
        finally:
            await transport.close()

    with pytest.raises(EntryUnreachableError):
        asyncio.run(main())
