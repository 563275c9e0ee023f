"""The agent role on the platform."""

import asyncio

from cicadatray.internal.agent.tasks.task_agent import TaskAgent
from cicadatray.internal.daemon.supervisor import Supervisor
from cicadatray.internal.entry.http_server import HttpServer
from cicadatray.internal.observability.metrics_registry import MetricsRegistry
from cicadatray.internal.wire.control_client import ControlClient
from cicadatray.internal.wire.leader_probe import LeaderProbe
from cicadatray.internal.wire.messages.registry import message_codec
from cicadatray.internal.wire.relay_routes import RelayRoutes
from cicadatray.platform.errors import PlatformSettingsError
from cicadatray.platform.members import CLUSTER_SECRET, seed_members
from cicadatray.platform.roles import RoleProgram, role
from cicadatray.platform.settings import PlatformSettings
from cicadatray.platform.worker_api import WorkerApi


class AgentRole:
    """An agent process, which controls the worker on its instance."""

    __slots__ = ("agent", "control", "metrics", "probe", "server", "supervisor")

    def __init__(self, settings: PlatformSettings) -> None:
        address = settings.control_address
        if address is None:
            raise PlatformSettingsError("an agent needs a Control address for its worker")
        self.control = ControlClient(
            seed_members(settings), message_codec(), CLUSTER_SECRET, RelayRoutes(settings.name)
        )
        self.probe = LeaderProbe(self.control)
        self.metrics = MetricsRegistry()
        self.supervisor = Supervisor(self.metrics)
        self.agent = TaskAgent(settings.name, self.control, self.metrics, settings.longest_lease_s)
        application = WorkerApi(self.agent, settings.data_centre).application()
        self.server = HttpServer(application, address.host, address.port)

    async def run(self, stop: asyncio.Event) -> None:
        """Serves until `stop` is set; the worker's runs continue until their lease expires."""
        await self.server.start()
        self.supervisor.start("leader probe", self.probe.run)
        agent_task = asyncio.create_task(self.agent.run())
        stop_task = asyncio.create_task(stop.wait())
        await asyncio.wait((stop_task, agent_task), return_when=asyncio.FIRST_COMPLETED)
        stop_task.cancel()
        agent_task.cancel()
        (result,) = await asyncio.gather(agent_task, return_exceptions=True)
        await self.supervisor.stop()
        await self.server.stop()
        await self.control.close()
        if isinstance(result, Exception):
            raise result

    def reload(self, settings: PlatformSettings) -> None:
        """Applies changed seeds."""
        self.control.replace_seeds(seed_members(settings))


@role("agent")
def build_agent(settings: PlatformSettings) -> RoleProgram:
    """Returns the program of the agent role."""
    return AgentRole(settings)
