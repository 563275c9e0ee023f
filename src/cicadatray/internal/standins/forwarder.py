"""A TCP forwarder that simulates network partitions: connections stall and are not reset."""

import asyncio

from cicadatray.internal.settings.common import Address

CHUNK_BYTES = 64 * 1024


class Forwarder:
    """Forwards connections from one address to one target.

    Links from the hosts in `cut_sources` stall.
    """

    __slots__ = ("cut_all", "cut_sources", "healed", "listen", "server", "target", "tasks")

    def __init__(self, listen: Address, target: Address) -> None:
        self.listen = listen
        self.target = target
        self.cut_all = False
        self.cut_sources: set[str] = set()
        self.healed = asyncio.Event()
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Starts listening."""
        self.server = await asyncio.start_server(self._accept, self.listen.host, self.listen.port)

    async def stop(self) -> None:
        """Stops listening and closes all connections."""
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def cut(self, source: str | None = None) -> None:
        """Stalls the links from one source host, or all links if `source` is None."""
        self.healed.clear()
        if source is None:
            self.cut_all = True
        else:
            self.cut_sources.add(source)

    def heal(self) -> None:
        """Resumes all links; stalled bytes then arrive late, as after a real network partition."""
        self.cut_all = False
        self.cut_sources.clear()
        self.healed.set()

    def _is_cut(self, source: str) -> bool:
        return self.cut_all or source in self.cut_sources

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        source = writer.get_extra_info("peername")[0]
        try:
            await self._wait_until_healed(source)
            await self._forward(source, reader, writer)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            writer.close()

    async def _forward(
        self, source: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        target_reader, target_writer = await asyncio.open_connection(
            self.target.host, self.target.port
        )
        directions = [
            asyncio.create_task(self._copy(source, reader, target_writer)),
            asyncio.create_task(self._copy(source, target_reader, writer)),
        ]
        try:
            await asyncio.wait(directions, return_when=asyncio.FIRST_COMPLETED)
        finally:
            target_writer.close()
            for direction in directions:
                direction.cancel()

    async def _copy(
        self, source: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while chunk := await reader.read(CHUNK_BYTES):
            await self._wait_until_healed(source)
            writer.write(chunk)
            await writer.drain()
        await self._wait_until_healed(source)

    async def _wait_until_healed(self, source: str) -> None:
        while self._is_cut(source):
            await self.healed.wait()
