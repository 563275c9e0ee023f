"""A server for calls of other processes."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

import structlog

from cicadatray.internal.observability.repeated_event import RepeatedEvent
from cicadatray.internal.observability.trace import traced
from cicadatray.internal.wire.codec import Codec
from cicadatray.internal.wire.errors import FrameError, HandshakeError
from cicadatray.internal.wire.frame import pack_frame, read_frame
from cicadatray.internal.wire.handshake import authenticate
from cicadatray.internal.wire.message import Failure, MessageStruct

Handler = Callable[[MessageStruct], Awaitable[MessageStruct]]
CONNECTION_LIMIT = 1024
# Processes call the leader more often than this. A connection that has been idle for longer may be
# that of a machine which lost power: it is never reset, since the server sends nothing on it.
IDLE_LIMIT_S = 10.0
CALLS_PER_CONNECTION_LIMIT = 256
INTERNAL_ERROR_CODE = "internal_error"
BUSY_CODE = "too_many_calls"
BUSY_RETRY_AFTER_S = 1.0

log = structlog.get_logger(__name__)


class _Connection:
    """An accepted connection; `last_received_s` is on the event loop's clock."""

    __slots__ = ("calls", "last_received_s")

    def __init__(self) -> None:
        self.calls: set[asyncio.Task[None]] = set()
        self.last_received_s = asyncio.get_running_loop().time()


class RpcServer:
    """Runs one task for each connection, and one for each call in progress on it.

    At the limit of connections, a new one takes the place of the one that has been idle longest.
    """

    __slots__ = (
        "codec",
        "connections",
        "handler",
        "host",
        "port",
        "refusals",
        "secret",
        "server",
    )

    def __init__(self, host: str, port: int, codec: Codec, handler: Handler, secret: bytes) -> None:
        """Creates a server; if `port` is 0, the system assigns one, and `start` stores it."""
        self.host = host
        self.port = port
        self.codec = codec
        self.handler = handler
        self.secret = secret
        self.server: asyncio.Server | None = None
        self.connections: dict[asyncio.Task[None], _Connection] = {}
        self.refusals = RepeatedEvent("connection refused")

    async def start(self) -> None:
        """Starts to listen."""
        self.server = await asyncio.start_server(self._accept, self.host, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Closes the listener and every connection; calls in progress are cancelled."""
        if self.server is None:
            return
        self.server.close()
        for task in list(self.connections):
            task.cancel()
        await asyncio.gather(*self.connections, return_exceptions=True)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        if len(self.connections) >= CONNECTION_LIMIT and not self._close_idlest():
            self.refusals.record_failure("limit", connections=len(self.connections))
            writer.close()
            return
        self.refusals.record_end()
        connection = self.connections[task] = _Connection()
        try:
            await self._serve(reader, writer, connection)
        except asyncio.CancelledError:
            pass  # asyncio logs a cancelled connection callback as an error
        finally:
            self.connections.pop(task, None)
            writer.close()

    def _close_idlest(self) -> bool:
        """Closes the connection that has been idle longest; returns False if none is idle."""
        idle_s = asyncio.get_running_loop().time() - IDLE_LIMIT_S
        idle = {
            task: connection.last_received_s
            for task, connection in self.connections.items()
            if not connection.calls and connection.last_received_s <= idle_s
        }
        if not idle:
            return False
        task = min(idle, key=lambda candidate: idle[candidate])
        self.connections.pop(task)
        task.cancel()
        return True

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        connection: _Connection,
    ) -> None:
        calls = connection.calls
        try:
            await authenticate(reader, writer, self.secret, dialer=False)
            while True:
                call_id, message = self.codec.decode(await read_frame(reader))
                connection.last_received_s = asyncio.get_running_loop().time()
                if len(calls) >= CALLS_PER_CONNECTION_LIMIT:
                    busy = Failure(
                        code=BUSY_CODE,
                        detail="too many calls on one connection",
                        retry_after_s=BUSY_RETRY_AFTER_S,
                    )
                    await self._reply(writer, call_id, busy)
                    continue
                call = asyncio.create_task(self._answer(writer, call_id, message))
                calls.add(call)
                call.add_done_callback(calls.discard)
        except (HandshakeError, FrameError) as error:
            log.warning("connection closed after a handshake or frame error", reason=str(error))
        except (EOFError, OSError):
            pass
        finally:
            for call in calls:
                call.cancel()

    async def _answer(
        self, writer: asyncio.StreamWriter, call_id: int, message: MessageStruct
    ) -> None:
        trace_id = getattr(message, "trace_id", "")
        try:
            with traced(trace_id) if trace_id else contextlib.nullcontext():
                reply = await self.handler(message)
        except Exception as error:
            log.exception("call failed", message_type=type(message).__name__)
            reply = Failure(code=INTERNAL_ERROR_CODE, detail=type(error).__name__)
        await self._reply(writer, call_id, reply)

    async def _reply(
        self, writer: asyncio.StreamWriter, call_id: int, reply: MessageStruct
    ) -> None:
        try:
            frame = pack_frame(self.codec.encode(call_id, reply))
        except Exception as error:
            # Without a reply the caller would wait, and repeat the call, for good. The encoder
            # raises errors of several types for values that it cannot represent.
            log.exception("reply not encoded", message_type=type(reply).__name__)
            failure = Failure(code=INTERNAL_ERROR_CODE, detail=str(error))
            frame = pack_frame(self.codec.encode(call_id, failure))
        try:
            writer.write(frame)
            await writer.drain()
        except OSError:
            pass  # the connection is lost; the caller retries on another one
