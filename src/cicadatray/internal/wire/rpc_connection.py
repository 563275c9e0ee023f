"""One open connection to another process, with the calls in progress on it."""

import asyncio

from cicadatray.internal.wire.codec import Codec
from cicadatray.internal.wire.errors import FrameError, PeerLostError
from cicadatray.internal.wire.frame import pack_frame, read_frame
from cicadatray.internal.wire.message import MessageStruct


class RpcConnection:
    """Matches replies to calls.

    `last_received_s` is when the last message arrived, on the event loop's clock.
    """

    __slots__ = (
        "codec",
        "last_received_s",
        "next_call_id",
        "pending",
        "reader",
        "reading",
        "writer",
    )

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, codec: Codec
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.codec = codec
        self.last_received_s = asyncio.get_running_loop().time()
        self.next_call_id = 1
        self.pending: dict[int, asyncio.Future[MessageStruct]] = {}
        self.reading = asyncio.create_task(self._read_replies())

    @property
    def is_open(self) -> bool:
        """Whether calls can still be answered."""
        return not self.reading.done() and not self.writer.is_closing()

    async def call(self, message: MessageStruct) -> MessageStruct:
        """Sends a request and returns its reply; the caller limits the time.

        Raises:
            PeerLostError: the connection was lost after the request was sent.
            OSError: the same, seen while writing.
        """
        call_id = self.next_call_id
        self.next_call_id += 1
        frame = pack_frame(self.codec.encode(call_id, message))
        reply: asyncio.Future[MessageStruct] = asyncio.get_running_loop().create_future()
        self.pending[call_id] = reply
        try:
            self.writer.write(frame)
            await self.writer.drain()
            return await reply
        finally:
            self.pending.pop(call_id, None)
            if reply.done() and not reply.cancelled():
                # Marks an error as seen that came while the request was still being written.
                reply.exception()

    def abort(self) -> None:
        """Resets the connection; calls in progress fail with `PeerLostError`."""
        self.writer.transport.abort()
        # The event loop holds the reader of an outgoing connection by a weak reference only. A
        # connection that is dropped now could be collected before its reading task has ended.
        self.reading.cancel()
        # A task that is cancelled before its first step never runs, not even its `finally`.
        self._fail_pending()

    async def close(self) -> None:
        """Closes the connection; calls in progress fail with `PeerLostError`."""
        self.reading.cancel()
        await asyncio.gather(self.reading, return_exceptions=True)

    async def _read_replies(self) -> None:
        try:
            while True:
                call_id, message = self.codec.decode(await read_frame(self.reader))
                self.last_received_s = asyncio.get_running_loop().time()
                reply = self.pending.get(call_id)
                if reply is not None and not reply.done():
                    reply.set_result(message)
        except (EOFError, OSError, FrameError):
            pass
        finally:
            self.writer.close()
            self._fail_pending()

    def _fail_pending(self) -> None:
        for reply in self.pending.values():
            if not reply.done():
                reply.set_exception(PeerLostError("the connection was lost"))
