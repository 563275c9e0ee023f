"""The entry process."""

import asyncio
from pathlib import Path

import structlog

from cicadatray.internal.daemon.supervisor import Supervisor
from cicadatray.internal.entry.directory_cache import DirectoryCache
from cicadatray.internal.entry.entry_context import EntryContext
from cicadatray.internal.entry.http_application import build_application
from cicadatray.internal.entry.http_server import HttpServer
from cicadatray.internal.entry.shared_request import STOP_GRACE_S
from cicadatray.internal.observability.state_dump import StateDump
from cicadatray.internal.settings.entry_settings import EntrySettings
from cicadatray.internal.wire.control_client import ControlClient
from cicadatray.internal.wire.messages.registry import message_codec

# The time after the second stop signal to determine outcomes and to send the responses.
ABORT_AFTER_S = STOP_GRACE_S + 1.0

log = structlog.get_logger(__name__)


class EntryDaemon:
    """Runs an entry until it is stopped."""

    __slots__ = ("context", "control", "directory", "dump", "http", "settings")

    def __init__(self, settings: EntrySettings, secret: bytes) -> None:
        codec = message_codec()
        self.settings = settings
        self.dump = StateDump(Path(settings.dump_folder), settings.name)
        self.control = ControlClient(settings.control, codec, secret)
        self.directory = DirectoryCache(self.control, codec, secret)
        self.context = EntryContext(settings, self.directory, self.control)
        self.dump.register("entry", self.context.describe)
        application = build_application(self.context)
        application.state.dump = self.dump
        self.http = HttpServer(application, settings.http.host, settings.http.port)

    async def run(self, stop: asyncio.Event) -> None:
        """Serves until `stop` is set, then completes the requests in progress."""
        supervisor = Supervisor(self.context.metrics)
        supervisor.start("directory", self.directory.run)
        await self.http.start()
        log.info("entry listening", port=self.settings.http.port)
        await stop.wait()
        self.context.draining = True
        await self.context.requests.drain()
        await self.http.stop()
        await supervisor.stop()
        await self.control.close()

    def abandon(self) -> None:
        """Ends all requests in progress with their true outcome, on the second stop signal."""
        self.context.requests.abandon()
        asyncio.get_running_loop().call_later(ABORT_AFTER_S, self.http.abort)
