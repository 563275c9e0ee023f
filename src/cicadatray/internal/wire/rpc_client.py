"""Calls to one other process over one connection that is opened again when it is lost."""

import asyncio

from cicadatray.internal.wire.backoff import Backoff
from cicadatray.internal.wire.codec import Codec
from cicadatray.internal.wire.errors import (
    FrameError,
    HandshakeError,
    PeerLostError,
    PeerUnreachableError,
)
from cicadatray.internal.wire.frame import pack_frame, read_frame
from cicadatray.internal.wire.handshake import authenticate
from cicadatray.internal.wire.message import MessageStruct
from cicadatray.internal.wire.source_address import SOURCE_ADDRESS

CONNECT_TIMEOUT_S = 1.0


class RpcClient:
    """Multiplexes calls to one address.

    A lost connection fails its calls in progress. The next call opens a new connection, unless the
    backoff after a failed attempt still runs, in which case it fails at once.
    """

    __slots__ = (
        "backoff",
        "codec",
        "connect_lock",
        "connect_timeout_s",
        "heard_s",
        "host",
        "next_call_id",
        "pending",
        "port",
        "reading",
        "retry_at_s",
        "secret",
        "writer",
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
        self.heard_s = 0.0
        self.next_call_id = 1
        self.pending: dict[int, asyncio.Future[MessageStruct]] = {}
        self.reading: asyncio.Task[None] | None = None
        self.retry_at_s = 0.0
        self.writer: asyncio.StreamWriter | None = None

    async def call(self, message: MessageStruct, timeout_s: float) -> MessageStruct:
        """Sends a request and returns its reply, which may be a `Failure`.

        Raises:
            PeerUnreachableError: the request was not sent.
            PeerLostError: no reply in time, or the connection was lost after the request was sent.
        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        writer = await self._connected_writer(min(timeout_s, self.connect_timeout_s))
        call_id = self.next_call_id
        self.next_call_id += 1
        frame = pack_frame(self.codec.encode(call_id, message))
        reply: asyncio.Future[MessageStruct] = loop.create_future()
        self.pending[call_id] = reply
        try:
            async with asyncio.timeout_at(deadline_s):
                writer.write(frame)
                await writer.drain()
                return await reply
        except TimeoutError as error:
            if self.heard_s < deadline_s - timeout_s:
                # Nothing at all came during the call: a connection that has gone silent is never
                # reset, and every later call on it would wait in vain.
                writer.transport.abort()
            raise PeerLostError(f"no reply from {self.host}:{self.port} in time") from error
        except OSError as error:
            raise PeerLostError(f"connection to {self.host}:{self.port} lost") from error
        finally:
            self.pending.pop(call_id, None)
            if reply.done() and not reply.cancelled():
                # Marks an error as seen that came while the request was still being written.
                reply.exception()

    async def close(self) -> None:
        """Closes the connection; calls in progress fail with `PeerLostError`."""
        if self.reading is not None:
            self.reading.cancel()
            await asyncio.gather(self.reading, return_exceptions=True)

    async def _connected_writer(self, timeout_s: float) -> asyncio.StreamWriter:
        async with self.connect_lock:
            if self.writer is not None:
                return self.writer
            now_s = asyncio.get_running_loop().time()
            if now_s < self.retry_at_s:
                raise PeerUnreachableError(f"{self.host}:{self.port} was unreachable just before")
            try:
                writer = await self._connect(timeout_s)
            except (OSError, TimeoutError, HandshakeError) as error:
                self.retry_at_s = now_s + self.backoff.next_delay_s()
                raise PeerUnreachableError(f"{self.host}:{self.port}: {error}") from error
            self.backoff.reset()
            self.writer = writer
            return writer

    async def _connect(self, timeout_s: float) -> asyncio.StreamWriter:
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
        self.heard_s = asyncio.get_running_loop().time()
        self.reading = asyncio.create_task(self._read_replies(reader, writer))
        return writer

    async def _read_replies(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                call_id, message = self.codec.decode(await read_frame(reader))
                self.heard_s = asyncio.get_running_loop().time()
                reply = self.pending.get(call_id)
                if reply is not None and not reply.done():
                    reply.set_result(message)
        except (EOFError, OSError, FrameError):
            pass
        finally:
            writer.close()
            self.writer = None
            self._fail_pending()

    def _fail_pending(self) -> None:
        for reply in self.pending.values():
            if not reply.done():
                reply.set_exception(PeerLostError(f"connection to {self.host}:{self.port} lost"))
