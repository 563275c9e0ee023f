"""The entry role on the platform."""

import asyncio

import structlog
from starlette.responses import Response
from starlette.types import Receive, Scope, Send

from cicadatray.internal.entry.http_server import HttpServer
from cicadatray.internal.observability.metrics_registry import MetricsRegistry
from cicadatray.internal.wire.control_client import ControlClient
from cicadatray.internal.wire.leader_probe import LeaderProbe
from cicadatray.internal.wire.messages.registry import message_codec
from cicadatray.internal.wire.relay_routes import RelayRoutes
from cicadatray.internal.wire.relay_server import RelayServer
from cicadatray.platform.client_api import ClientApi
from cicadatray.platform.errors import PlatformSettingsError
from cicadatray.platform.members import CLUSTER_SECRET, relay_address, seed_members
from cicadatray.platform.roles import RoleProgram, role
from cicadatray.platform.settings import PlatformSettings

log = structlog.get_logger(__name__)

# The platform asks once a second and sends no new connections after two bad answers.
LEAVE_ROTATION_S = 2.5
# Left at the end of the grace period for closing connections.
GRACE_RESERVE_S = 0.7


class EntryRole:
    """Serves clients and answers whether it is ready."""

    __slots__ = (
        "clients",
        "control",
        "grace_s",
        "is_stopping",
        "metrics",
        "probe",
        "readiness",
        "relay",
        "was_ready",
    )

    def __init__(self, settings: PlatformSettings) -> None:
        front, ready = settings.client_address, settings.readiness_address
        if front is None or ready is None:
            raise PlatformSettingsError("an entry needs addresses for clients and readiness")
        self.grace_s = settings.grace_s
        self.is_stopping = False
        self.was_ready = False
        codec = message_codec()
        own_relay = relay_address(settings)
        routes = RelayRoutes(own_relay.name)
        self.control = ControlClient(seed_members(settings), codec, CLUSTER_SECRET, routes)
        self.probe = LeaderProbe(self.control, own_relay)
        self.relay = RelayServer(
            own_relay.host, own_relay.port, self.control, codec, CLUSTER_SECRET
        )
        self.metrics = MetricsRegistry()
        api = ClientApi(self.control, self.probe, settings.body_limit_bytes, self.metrics)
        self.clients = HttpServer(api, front.host, front.port)
        self.readiness = HttpServer(self._answer_readiness, ready.host, ready.port)

    async def run(self, stop: asyncio.Event) -> None:
        """Serves until `stop` is set, leaves the rotation and finishes what is open."""
        probing = asyncio.create_task(self.probe.run())
        await self.relay.server.start()
        await self.clients.start()
        await self.readiness.start()
        await stop.wait()
        self.is_stopping = True
        await asyncio.sleep(LEAVE_ROTATION_S)
        try:
            async with asyncio.timeout(self.grace_s - LEAVE_ROTATION_S - GRACE_RESERVE_S):
                await self.clients.stop()
        except TimeoutError:
            self.clients.abort()
        probing.cancel()
        await self.readiness.stop()
        await self.relay.server.stop()
        await self.control.close()

    def reload(self, settings: PlatformSettings) -> None:
        """Learns other seeds."""
        for member in seed_members(settings):
            self.control.set_member_address(member.name, member.host, member.port)

    async def _answer_readiness(self, scope: Scope, receive: Receive, send: Send) -> None:
        is_ready = not self.is_stopping and self.probe.is_connected()
        if is_ready != self.was_ready:
            self.was_ready = is_ready
            silence_s = asyncio.get_running_loop().time() - self.control.last_reply_s
            log.info("readiness changed", ready=is_ready, silence_s=round(silence_s, 2))
        await Response(b"", 200 if is_ready else 503)(scope, receive, send)


@role("entry")
def build_entry(settings: PlatformSettings) -> RoleProgram:
    """Returns the program."""
    return EntryRole(settings)
