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
# Replies take milliseconds. A call that has less time than this says nothing about the connection,
# which other calls are using.
RESET_AFTER_S = 0.15
# The handshake takes two round trips, and waits for both processes on busy machines.
SHORTEST_ATTEMPT_S = 0.15


class RpcClient:
    """Multiplexes calls to one address.

    A lost connection fails its calls in progress. The next call opens a new connection, or fails
    immediately while the backoff after a failed attempt lasts.

    All calls that find no connection wait for the same `attempt`, each for as long as its own
    timeout allows, and share its outcome. The attempt ends with the timeout of the call that began
    it: the system sends the first packet of a connection again only after 1 s, so that an attempt
    which began while the peer was cut off has to be given up for a new one. A call with little time
    is no reason to give up, though; each attempt has `SHORTEST_ATTEMPT_S`.
    """

    __slots__ = (
        "attempt",
        "backoff",
        "calls_in_progress",
        "codec",
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
        self.attempt: asyncio.Task[RpcConnection | Exception] | None = None
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
        started_s = loop.time()
        deadline_s = started_s + timeout_s
        connection = await self._ensure_connected(deadline_s)
        sent_s = loop.time()
        connection_wait_s = sent_s - started_s
        try:
            async with asyncio.timeout_at(deadline_s):
                return await connection.call(message)
        except TimeoutError as error:
            if connection.silence_after(sent_s) >= RESET_AFTER_S:
                # A dead connection may never be reset, and every later call on it would time out
                # too.
                connection.abort()
            raise PeerLostError(
                f"no reply from {self.host}:{self.port} in time", connection_wait_s
            ) from error
        except (OSError, PeerLostError) as error:
            raise PeerLostError(
                f"connection to {self.host}:{self.port} lost", connection_wait_s
            ) from error

    def abort(self) -> None:
        """Resets the connection and ends an attempt to open one.

        Calls in progress fail with `PeerLostError`, or with `PeerUnreachableError` if they wait for
        a connection.
        """
        if self.attempt is not None:
            self.attempt.cancel()
        if self.connection is not None:
            self.connection.abort()

    def release(self) -> None:
        """Closes the connection as soon as no call is in progress.

        A client that is dropped without awaiting `close` must be released.
        """
        self.is_released = True
        self._abort_if_released()

    async def close(self) -> None:
        """Closes the connection; calls in progress fail as they do in `abort`."""
        if self.attempt is not None:
            self.attempt.cancel()
            await asyncio.wait((self.attempt,))
        if self.connection is not None:
            await self.connection.close()

    def _abort_if_released(self) -> None:
        if self.is_released and not self.calls_in_progress:
            self.abort()

    async def _ensure_connected(self, deadline_s: float) -> RpcConnection:
        if self.connection is not None and self.connection.is_open:
            return self.connection
        loop = asyncio.get_running_loop()
        if self.attempt is None or self.attempt.done():
            if loop.time() < self.retry_at_s:
                raise PeerUnreachableError(
                    f"{self.host}:{self.port} is in backoff after a failed connection"
                )
            timeout_s = max(deadline_s - loop.time(), SHORTEST_ATTEMPT_S)
            self.attempt = asyncio.create_task(
                self._attempt(min(timeout_s, self.connect_timeout_s))
            )
        attempt = self.attempt
        await asyncio.wait((attempt,), timeout=deadline_s - loop.time())
        if not attempt.done():
            raise PeerUnreachableError(f"{self.host}:{self.port}: no connection in time")
        if attempt.cancelled():
            raise PeerUnreachableError(f"{self.host}:{self.port}: the client was closed")
        outcome = attempt.result()
        if isinstance(outcome, Exception):
            raise PeerUnreachableError(f"{self.host}:{self.port}: {outcome}") from outcome
        return outcome

    async def _attempt(self, timeout_s: float) -> RpcConnection | Exception:
        """Opens a connection; returns the error if it fails, since no call may wait for it."""
        try:
            self.connection = await self._connect(timeout_s)
        except TimeoutError:
            error: Exception = TimeoutError(f"no connection within {timeout_s:.2f} s")
        except (OSError, HandshakeError) as failure:
            error = failure
        else:
            self.backoff.reset()
            return self.connection
        self.retry_at_s = asyncio.get_running_loop().time() + self.backoff.next_delay_s()
        return error

    async def _connect(self, timeout_s: float) -> RpcConnection:
        attempt_s = asyncio.get_running_loop().time()
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
        return RpcConnection(reader, writer, self.codec, attempt_s)
