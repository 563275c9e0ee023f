"""The entry role on the platform."""

import asyncio

import structlog
from starlette.responses import Response
from starlette.types import Receive, Scope, Send

from cicadatray.internal.daemon.supervisor import Supervisor
from cicadatray.internal.entry.http_server import HttpServer
from cicadatray.internal.observability.metrics_registry import MetricsRegistry
from cicadatray.internal.wire.control_client import ControlClient
from cicadatray.internal.wire.leader_probe import LeaderProbe
from cicadatray.internal.wire.messages.registry import message_codec
from cicadatray.internal.wire.relay_routes import RelayRoutes
from cicadatray.internal.wire.relay_server import RelayServer
from cicadatray.internal.wire.seed_announcer import SeedAnnouncer
from cicadatray.platform.client_api import ClientApi
from cicadatray.platform.errors import PlatformSettingsError
from cicadatray.platform.members import CLUSTER_SECRET, relay_address, seed_members
from cicadatray.platform.roles import RoleProgram, role
from cicadatray.platform.settings import PlatformSettings

log = structlog.get_logger(__name__)

# The platform checks readiness once a second and stops sending new connections after two failed
# checks.
ROTATION_REMOVAL_S = 2.5
# The end of the grace period, in seconds, that is reserved for closing connections.
GRACE_RESERVE_S = 0.7


class EntryRole:
    """An entry process with the clients' interface and a readiness check."""

    __slots__ = (
        "announcer",
        "client_server",
        "control",
        "is_stopping",
        "metrics",
        "probe",
        "readiness_server",
        "relay",
        "shutdown_grace_s",
        "supervisor",
        "was_ready",
    )

    def __init__(self, settings: PlatformSettings) -> None:
        client_address, readiness_address = settings.client_address, settings.readiness_address
        if client_address is None or readiness_address is None:
            raise PlatformSettingsError(
                "an entry needs a Front address for clients and a Ready address"
            )
        self.shutdown_grace_s = settings.shutdown_grace_s
        self.is_stopping = False
        self.was_ready = False
        codec = message_codec()
        own_relay = relay_address(settings)
        routes = RelayRoutes(own_relay.name)
        seeds = seed_members(settings)
        self.control = ControlClient(seeds, codec, CLUSTER_SECRET, routes)
        # The seeds of other processes may differ from those of the members of the group.
        self.announcer = SeedAnnouncer(self.control, settings.name, seeds)
        self.probe = LeaderProbe(self.control, own_relay)
        self.relay = RelayServer(
            own_relay.host, own_relay.port, self.control, codec, CLUSTER_SECRET
        )
        self.metrics = MetricsRegistry()
        self.supervisor = Supervisor(self.metrics)
        api = ClientApi(self.control, self.probe, settings.body_limit_bytes, self.metrics)
        self.client_server = HttpServer(api, client_address.host, client_address.port)
        self.readiness_server = HttpServer(
            self._serve_readiness, readiness_address.host, readiness_address.port
        )

    async def run(self, stop: asyncio.Event) -> None:
        """Serves until `stop` is set, then waits for removal from rotation and drains."""
        self.supervisor.start("leader probe", self.probe.run)
        self.supervisor.start("seed announcer", self.announcer.run)
        await self.relay.server.start()
        await self.client_server.start()
        await self.readiness_server.start()
        await stop.wait()
        self.is_stopping = True
        await asyncio.sleep(ROTATION_REMOVAL_S)
        try:
            async with asyncio.timeout(
                self.shutdown_grace_s - ROTATION_REMOVAL_S - GRACE_RESERVE_S
            ):
                await self.client_server.stop()
        except TimeoutError:
            self.client_server.abort()
        await self.supervisor.stop()
        await self.readiness_server.stop()
        await self.relay.server.stop()
        await self.control.close()

    def reload(self, settings: PlatformSettings) -> None:
        """Applies changed seeds."""
        self.announcer.seeds = seed_members(settings)
        self.control.replace_seeds(self.announcer.seeds)

    async def _serve_readiness(self, scope: Scope, receive: Receive, send: Send) -> None:
        is_ready = not self.is_stopping and self.probe.is_connected()
        if is_ready != self.was_ready:
            self.was_ready = is_ready
            silence_s = asyncio.get_running_loop().time() - self.control.last_reply_s
            log.info("readiness changed", ready=is_ready, silence_s=round(silence_s, 2))
        await Response(b"", 200 if is_ready else 503)(scope, receive, send)


@role("entry")
def build_entry(settings: PlatformSettings) -> RoleProgram:
    """Returns the program of the entry role."""
    return EntryRole(settings)
