"""An open connection to another process and its calls in progress."""

import asyncio
import math

from cicadatray.internal.wire.codec import Codec
from cicadatray.internal.wire.errors import FrameError, PeerLostError
from cicadatray.internal.wire.frame import pack_frame, read_frame
from cicadatray.internal.wire.message import MessageStruct


class RpcConnection:
    """Matches replies to calls.

    `last_received_s` is when the last message arrived, on the event loop's clock. `unanswered_s` is
    when the first call was sent that has timed out since then; before the first message, it is when
    the attempt to connect began.
    """

    __slots__ = (
        "codec",
        "last_received_s",
        "next_call_id",
        "pending_replies",
        "reader",
        "reader_task",
        "unanswered_s",
        "writer",
    )

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        codec: Codec,
        attempt_s: float = math.inf,
    ) -> None:
        """Starts to read from an authenticated connection that was begun at `attempt_s`."""
        self.reader = reader
        self.writer = writer
        self.codec = codec
        self.last_received_s = asyncio.get_running_loop().time()
        self.unanswered_s = attempt_s
        self.next_call_id = 1
        self.pending_replies: dict[int, asyncio.Future[MessageStruct]] = {}
        self.reader_task = asyncio.create_task(self._read_replies())

    @property
    def is_open(self) -> bool:
        """Whether replies can still be received."""
        return not self.reader_task.done() and not self.writer.is_closing()

    async def call(self, message: MessageStruct) -> MessageStruct:
        """Sends a request and returns its reply; the caller applies the timeout.

        Raises:
            PeerLostError: the connection was lost after the request was sent.
            OSError: the connection was lost while the request was written.
        """
        call_id = self.next_call_id
        self.next_call_id += 1
        frame = pack_frame(self.codec.encode(call_id, message))
        reply: asyncio.Future[MessageStruct] = asyncio.get_running_loop().create_future()
        self.pending_replies[call_id] = reply
        try:
            self.writer.write(frame)
            await self.writer.drain()
            return await reply
        finally:
            self.pending_replies.pop(call_id, None)
            if reply.done() and not reply.cancelled():
                # Marks an error as retrieved that was set while the request was being written.
                reply.exception()

    def silence_after(self, sent_s: float) -> float:
        """Returns how long nothing has arrived, in seconds, since calls were sent that timed out.

        `sent_s` is when the latest of them was sent. It is 0 if something arrived after that.
        """
        if self.last_received_s > sent_s:
            return 0.0
        self.unanswered_s = min(self.unanswered_s, sent_s)
        return asyncio.get_running_loop().time() - self.unanswered_s

    def abort(self) -> None:
        """Resets the connection; calls in progress fail with `PeerLostError`."""
        self.writer.transport.abort()
        # The event loop holds only a weak reference to the reader of an outgoing connection. If the
        # connection is dropped now, it could be collected before its reader task has ended.
        self.reader_task.cancel()
        # A task that is cancelled before its first step never runs, not even its `finally`.
        self._fail_pending()

    async def close(self) -> None:
        """Closes the connection; calls in progress fail with `PeerLostError`."""
        self.reader_task.cancel()
        await asyncio.gather(self.reader_task, return_exceptions=True)

    async def _read_replies(self) -> None:
        try:
            while True:
                call_id, message = self.codec.decode(await read_frame(self.reader))
                self.last_received_s = asyncio.get_running_loop().time()
                self.unanswered_s = math.inf
                reply = self.pending_replies.get(call_id)
                if reply is not None and not reply.done():
                    reply.set_result(message)
        except (EOFError, OSError, FrameError):
            pass
        finally:
            self.writer.close()
            self._fail_pending()

    def _fail_pending(self) -> None:
        for reply in self.pending_replies.values():
            if not reply.done():
                reply.set_exception(PeerLostError("the connection was lost"))
