"""An HTTP server for an ASGI application inside a running event loop."""

import asyncio
import contextlib
from collections.abc import Generator

import uvicorn
from starlette.types import ASGIApp

from cicadatray.internal.entry.guarded_protocol import MAX_HEADER_BYTES, GuardedProtocol

KEEP_ALIVE_S = 30
START_POLL_INTERVAL_S = 0.01


class _EmbeddedServer(uvicorn.Server):
    """A uvicorn server that installs no signal handlers; the daemon handles signals."""

    __slots__ = ()

    @contextlib.contextmanager
    def capture_signals(self) -> Generator[None, None, None]:
        yield


class HttpServer:
    """An HTTP server; `stop` waits for the responses in progress."""

    __slots__ = ("server", "task")

    def __init__(self, application: ASGIApp, host: str, port: int) -> None:
        config = uvicorn.Config(
            application,
            interface="asgi3",
            host=host,
            port=port,
            http=GuardedProtocol,
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            h11_max_incomplete_event_size=MAX_HEADER_BYTES,
            timeout_keep_alive=KEEP_ALIVE_S,
        )
        self.server = _EmbeddedServer(config)
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Starts the server and returns once it listens or has failed."""
        self.task = asyncio.create_task(self.server.serve())
        while not self.server.started and not self.task.done():
            await asyncio.sleep(START_POLL_INTERVAL_S)

    async def stop(self) -> None:
        """Closes the listener and waits for the responses in progress."""
        self.server.should_exit = True
        if self.task is not None:
            await asyncio.gather(self.task, return_exceptions=True)

    def abort(self) -> None:
        """Makes a pending `stop` return without waiting for responses in progress."""
        self.server.force_exit = True
