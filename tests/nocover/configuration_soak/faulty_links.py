"""Connections whose bytes can be held up, as by a partition that resets nothing."""

import asyncio
import time
from typing import Any

from nocover.configuration_soak.machine_faults import INCOMING, OUTGOING, WatchedFaults

CHUNK_BYTES = 64 * 1024
POLL_S = 0.02
RESET_POLL_S = 0.1
# A peer that does not read blocks the writer after this many bytes.
WINDOW_BYTES = 256 * 1024


class FaultyLink:
    """One outgoing connection; it has the methods of a stream writer that the product uses."""

    __slots__ = (
        "faults",
        "has_data",
        "inner_reader",
        "inner_writer",
        "is_closed",
        "opened_s",
        "outgoing",
        "peer",
        "reader",
        "tasks",
    )

    def __init__(
        self,
        peer: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        faults: WatchedFaults,
    ) -> None:
        self.peer = peer
        self.faults = faults
        self.opened_s = time.monotonic()
        self.inner_reader = reader
        self.inner_writer = writer
        self.reader = asyncio.StreamReader()
        self.outgoing = bytearray()
        self.has_data = asyncio.Event()
        self.is_closed = False
        # The event loop itself holds only weak references to tasks.
        self.tasks = [
            asyncio.create_task(self._receive()),
            asyncio.create_task(self._send()),
            asyncio.create_task(self._watch_resets()),
        ]

    @property
    def transport(self) -> "FaultyLink":
        """The object whose `abort` resets the connection."""
        return self

    def write(self, data: bytes) -> None:
        """Queues bytes."""
        self.outgoing += data
        self.has_data.set()

    async def drain(self) -> None:
        """Returns once the window has room again."""
        while len(self.outgoing) > WINDOW_BYTES and not self.is_closed:
            await asyncio.sleep(POLL_S)
        if self.inner_writer.is_closing():
            raise ConnectionResetError("connection lost")

    def close(self) -> None:
        """Closes the connection once the queued bytes have been sent."""
        self.is_closed = True
        self.has_data.set()

    def abort(self) -> None:
        """Resets the connection; bytes that are held up are lost."""
        self.outgoing.clear()
        self.close()

    def is_closing(self) -> bool:
        """Returns whether the connection is closed or closes."""
        return self.is_closed or self.inner_writer.is_closing()

    async def wait_closed(self) -> None:
        """Returns at once: the peer may not hear of the end for a long time."""

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Returns information about the connection."""
        return self.inner_writer.get_extra_info(name, default)

    async def _pass(self, direction: str) -> None:
        while self.faults.is_held(self.peer, direction, self.opened_s):
            await asyncio.sleep(POLL_S)

    async def _receive(self) -> None:
        try:
            while data := await self.inner_reader.read(CHUNK_BYTES):
                await self._pass(INCOMING)
                self.reader.feed_data(data)
            await self._pass(INCOMING)
            self.reader.feed_eof()
        except OSError as error:
            await self._pass(INCOMING)
            self.reader.set_exception(error)

    async def _send(self) -> None:
        try:
            while not (self.is_closed and not self.outgoing):
                await self.has_data.wait()
                self.has_data.clear()
                await self._pass(OUTGOING)
                data, self.outgoing = bytes(self.outgoing), bytearray()
                self.inner_writer.write(data)
                await self.inner_writer.drain()
        except OSError:
            pass
        finally:
            # The peer must not learn of the end through a link that is cut.
            await self._pass(OUTGOING)
            self.inner_writer.transport.abort()
            for task in self.tasks:
                task.cancel()

    async def _watch_resets(self) -> None:
        while self.opened_s >= self.faults.current.reset_before_s:
            await asyncio.sleep(RESET_POLL_S)
        self.inner_writer.transport.abort()


def install_links(faults: WatchedFaults, own_host: str) -> None:
    """Passes each connection that this process opens to another machine through a `FaultyLink`."""
    open_connection = asyncio.open_connection

    async def open_faulty(host: str, port: int, **options: Any) -> Any:
        if host == own_host:
            return await open_connection(host, port, **options)
        while faults.current.cuts.get(host) or host in faults.current.off:
            await asyncio.sleep(POLL_S)
        reader, writer = await open_connection(host, port, **options)
        link = FaultyLink(host, reader, writer, faults)
        return link.reader, link

    asyncio.open_connection = open_faulty
