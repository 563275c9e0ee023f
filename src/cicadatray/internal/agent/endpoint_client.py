"""HTTP calls to the endpoint of the agent."""

import asyncio

import aiosonic
import msgspec
from aiosonic.exceptions import ConnectionPoolAcquireTimeout, ConnectTimeout
from aiosonic.timeout import Timeouts

from cicadatray.internal.agent.errors import EndpointFailedError, EndpointUnreachableError
from cicadatray.internal.http_client import build_http_client
from cicadatray.internal.settings.agent_settings import EndpointSettings

CONNECT_TIMEOUT_S = 1.0
MAX_ANSWER_BYTES = 512 * 1024
# Longer than any request: requests are ended by the caller's deadline, not by the HTTP library.
REQUEST_LIMIT_S = 24 * 3600.0
DEFAULT_CONTENT_TYPE = "application/octet-stream"
BODILESS_STATUS_CODES = frozenset({204, 304})


class EndpointAnswer(msgspec.Struct, frozen=True):
    """A complete answer of the endpoint."""

    status_code: int
    content_type: str
    body: bytes


class EndpointClient:
    """Sends requests over at most as many connections as the settings allow."""

    __slots__ = ("client", "url")

    def __init__(self, settings: EndpointSettings) -> None:
        timeouts = Timeouts(
            sock_connect=CONNECT_TIMEOUT_S,
            sock_read=REQUEST_LIMIT_S,
            request_timeout=REQUEST_LIMIT_S,
        )
        self.client = build_http_client(timeouts, settings.connections)
        self.url = f"http://{settings.address.host}:{settings.address.port}/"

    async def send(self, body: bytes, content_type: str, headers: dict[str, str]) -> EndpointAnswer:
        """Sends one request and returns its complete answer.

        Raises:
            EndpointUnreachableError: no connection could be opened.
            EndpointFailedError: the request was sent, but no complete answer arrived.
        """
        sent_headers = {
            "Content-Type": content_type,
            "Accept-Encoding": "identity",
            **headers,
        }
        try:
            response = await self.client.post(self.url, data=body, headers=sent_headers)
            content = await response.content()
        except (ConnectTimeout, ConnectionPoolAcquireTimeout, ConnectionRefusedError) as error:
            raise EndpointUnreachableError(f"{self.url}: {error}") from error
        except asyncio.CancelledError:
            raise
        except Exception as error:
            # The library raises many unrelated exception types for broken answers.
            raise EndpointFailedError(f"{self.url}: {type(error).__name__} {error}") from error
        self._check_complete(response, content)
        if len(content) > MAX_ANSWER_BYTES:
            raise EndpointFailedError(f"{self.url}: answer of {len(content)} bytes is too large")
        answer_type = response.headers.get("content-type") or ""
        if not (answer_type and answer_type.isascii() and answer_type.isprintable()):
            answer_type = DEFAULT_CONTENT_TYPE
        return EndpointAnswer(response.status_code, answer_type, content)

    def _check_complete(self, response: aiosonic.HttpResponse, content: bytes) -> None:
        declared = response.headers.get("content-length")
        if declared is not None:
            if not declared.isdecimal() or int(declared) != len(content):
                raise EndpointFailedError(
                    f"{self.url}: answer truncated, got {len(content)} of {declared} bytes"
                )
            return
        # Without a length or chunks, the end of the body looks the same as a lost connection.
        if not response.chunked and response.status_code not in BODILESS_STATUS_CODES:
            raise EndpointFailedError(f"{self.url}: answer without Content-Length or chunks")

    async def close(self) -> None:
        """Closes all connections."""
        await self.client.connector.cleanup()
