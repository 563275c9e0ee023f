"""Makes single attempts of requests over HTTP."""

import asyncio
import socket

from aiosonic import HttpResponse
from aiosonic.exceptions import AiosonicError, ConnectTimeout
from aiosonic.timeout import Timeouts

from cicadatray.internal.cli.entry_request import EntryRequest
from cicadatray.internal.cli.entry_response import EntryResponse
from cicadatray.internal.cli.errors import AnswerLostError, EntryUnreachableError
from cicadatray.internal.http_client import build_http_client

CONNECT_TIMEOUT_S = 3.0
MAX_CONNECTIONS = 4
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
CONNECT_ERRORS = (ConnectTimeout, ConnectionRefusedError, socket.gaierror)


class HttpTransport:
    """Sends requests with the credential; each attempt has its own timeout."""

    __slots__ = ("client", "credential")

    def __init__(self, credential: str) -> None:
        self.credential = credential
        timeouts = Timeouts(sock_connect=CONNECT_TIMEOUT_S)
        self.client = build_http_client(timeouts, MAX_CONNECTIONS)

    async def close(self) -> None:
        """Closes all connections."""
        await self.client.aclose()

    async def send(self, address: str, request: EntryRequest) -> EntryResponse:
        """Sends the request once and returns the response.

        Raises:
            EntryUnreachableError: no connection was established, so nothing was sent.
            AnswerLostError: no complete response was received within the timeout.
        """
        try:
            async with asyncio.timeout(request.timeout_s):
                return await self._exchange(address, request)
        except CONNECT_ERRORS as error:
            raise EntryUnreachableError(describe_error(error)) from error
        except (AiosonicError, OSError, EOFError, ValueError) as error:
            raise AnswerLostError(describe_error(error)) from error

    async def _exchange(self, address: str, request: EntryRequest) -> EntryResponse:
        response = await self.client.request(
            address + request.path,
            request.method,
            headers={**request.headers, "Authorization": f"Bearer {self.credential}"},
            data=request.body or None,
            timeouts=Timeouts(
                sock_connect=CONNECT_TIMEOUT_S,
                sock_read=request.timeout_s,
                request_timeout=request.timeout_s,
            ),
            stream=True,
        )
        try:
            body = await self._read_body(response)
        finally:
            await response.aclose()
        headers = {name.lower(): value for name, value in response.headers.items()}
        return EntryResponse(response.status_code, headers, body)

    async def _read_body(self, response: HttpResponse) -> bytes:
        chunks: list[bytes] = []
        size = 0
        async for chunk in response.iter_bytes():
            size += len(chunk)
            if size > MAX_RESPONSE_BYTES:
                raise ValueError(f"response larger than {MAX_RESPONSE_BYTES} bytes")
            chunks.append(chunk)
        return b"".join(chunks)


def describe_error(error: Exception) -> str:
    """Returns a short description of an error; some errors of aiosonic have no text."""
    if isinstance(error, OSError) and error.strerror:
        return error.strerror
    return str(error) or type(error).__name__
