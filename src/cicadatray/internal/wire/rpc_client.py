"""Calls to one other process over a connection that is reopened when it is lost."""

import asyncio

from cicadatray.internal.wire.backoff import Backoff
from cicadatray.internal.wire.codec import Codec
from cicadatray.internal.wire.errors import HandshakeError, PeerLostError, PeerUnreachableError
from cicadatray.internal.wire.handshake import authenticate
from cicadatray.internal.wire.message import MessageStruct
from cicadatray.internal.wire.rpc_connection import RpcConnection
from cicadatray.internal.wire.source_address import SOURCE_ADDRESS

CONNECT_TIMEOUT_S = 1.0


class RpcClient:
    """Multiplexes calls to one address.

    A lost connection fails its calls in progress. The next call opens a new connection, or fails
    immediately while the backoff after a failed attempt lasts.
    """

    __slots__ = (
        "backoff",
        "calls_in_progress",
        "codec",
        "connect_lock",
        "connect_timeout_s",
        "connection",
        "host",
        "is_released",
        "port",
        "retry_at_s",
        "secret",
    )

    def __init__(
        self,
        host: str,
        port: int,
        codec: Codec,
        secret: bytes,
        backoff: Backoff | None = None,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
    ) -> None:
        self.host = host
        self.port = port
        self.codec = codec
        self.secret = secret
        self.backoff = backoff or Backoff()
        self.connect_timeout_s = connect_timeout_s
        self.connect_lock = asyncio.Lock()
        self.connection: RpcConnection | None = None
        self.retry_at_s = 0.0
        self.calls_in_progress = 0
        self.is_released = False

    @property
    def last_received_s(self) -> float:
        """The loop time of the last message on the current connection; 0 without one."""
        return self.connection.last_received_s if self.connection else 0.0

    @property
    def is_connected(self) -> bool:
        """Whether a connection is open; one to a process without power stays open for a while."""
        return self.connection is not None and self.connection.is_open

    async def call(self, message: MessageStruct, timeout_s: float) -> MessageStruct:
        """Sends a request and returns its reply, which may be a `Failure`.

        Raises:
            PeerUnreachableError: the request was not sent.
            PeerLostError: no reply in time, or the connection was lost after the request was sent.
        """
        self.calls_in_progress += 1
        try:
            return await self._call(message, timeout_s)
        finally:
            self.calls_in_progress -= 1
            self._abort_if_released()

    async def _call(self, message: MessageStruct, timeout_s: float) -> MessageStruct:
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        connection = await self._ensure_connected(min(timeout_s, self.connect_timeout_s))
        sent_s = loop.time()
        try:
            async with asyncio.timeout_at(deadline_s):
                return await connection.call(message)
        except TimeoutError as error:
            if connection.last_received_s <= sent_s:
                # Nothing was received during the call. A dead connection may never be reset, and
                # every later call on it would time out too.
                connection.abort()
            raise PeerLostError(f"no reply from {self.host}:{self.port} in time") from error
        except (OSError, PeerLostError) as error:
            raise PeerLostError(f"connection to {self.host}:{self.port} lost") from error

    def abort(self) -> None:
        """Resets the connection; calls in progress fail with `PeerLostError`."""
        if self.connection is not None:
            self.connection.abort()

    def release(self) -> None:
        """Closes the connection as soon as no call is in progress.

        A client that is dropped without awaiting `close` must be released.
        """
        self.is_released = True
        self._abort_if_released()

    async def close(self) -> None:
        """Closes the connection; calls in progress fail with `PeerLostError`."""
        if self.connection is not None:
            await self.connection.close()

    def _abort_if_released(self) -> None:
        if self.is_released and not self.calls_in_progress:
            self.abort()

    async def _ensure_connected(self, timeout_s: float) -> RpcConnection:
        async with self.connect_lock:
            if self.connection is not None and self.connection.is_open:
                return self.connection
            now_s = asyncio.get_running_loop().time()
            if now_s < self.retry_at_s:
                raise PeerUnreachableError(
                    f"{self.host}:{self.port} is in backoff after a failed connection"
                )
            try:
                self.connection = await self._connect(timeout_s)
            except (OSError, TimeoutError, HandshakeError) as error:
                self.retry_at_s = now_s + self.backoff.next_delay_s()
                raise PeerUnreachableError(f"{self.host}:{self.port}: {error}") from error
            self.backoff.reset()
            return self.connection

    async def _connect(self, timeout_s: float) -> RpcConnection:
        async with asyncio.timeout(timeout_s):
            local_address = SOURCE_ADDRESS.local_address()
            reader, writer = await asyncio.open_connection(
                self.host, self.port, local_addr=local_address
            )
            try:
                await authenticate(reader, writer, self.secret, dialer=True)
            except BaseException:
                writer.close()
                raise
        return RpcConnection(reader, writer, self.codec)
