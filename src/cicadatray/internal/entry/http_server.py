"""Serving of an ASGI application inside a running event loop."""

import asyncio
import contextlib
from collections.abc import Generator

import uvicorn
from starlette.types import ASGIApp

from cicadatray.internal.entry.guarded_protocol import HEADER_LIMIT_BYTES, GuardedProtocol

KEEP_ALIVE_S = 30
STARTED_POLL_S = 0.01


class _EmbeddedServer(uvicorn.Server):
    """Leaves the signals to the daemon."""

    __slots__ = ()

    @contextlib.contextmanager
    def capture_signals(self) -> Generator[None, None, None]:
        yield


class HttpServer:
    """Listens until `stop`, which lets answers in progress finish."""

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
            h11_max_incomplete_event_size=HEADER_LIMIT_BYTES,
            timeout_keep_alive=KEEP_ALIVE_S,
        )
        self.server = _EmbeddedServer(config)
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Begins to listen."""
        self.task = asyncio.create_task(self.server.serve())
        while not self.server.started and not self.task.done():
            await asyncio.sleep(STARTED_POLL_S)

    async def stop(self) -> None:
        """Closes the listener and waits for answers in progress."""
        self.server.should_exit = True
        if self.task is not None:
            await asyncio.gather(self.task, return_exceptions=True)

    def abort(self) -> None:
        """Ends without waiting any longer."""
        self.server.force_exit = True
