"""The control role on the platform."""

import asyncio

import structlog

from cicadatray.internal.control.control_daemon import ControlDaemon
from cicadatray.internal.daemon.supervisor import Supervisor
from cicadatray.internal.entry.http_server import HttpServer
from cicadatray.internal.observability.metrics_registry import MetricsRegistry
from cicadatray.internal.settings.common import Address, ControlMember
from cicadatray.internal.settings.control_settings import ControlSettings
from cicadatray.internal.wire.control_client import ControlClient
from cicadatray.internal.wire.leader_probe import LeaderProbe
from cicadatray.internal.wire.messages.graph_messages import MemberAddress
from cicadatray.internal.wire.messages.registry import message_codec
from cicadatray.internal.wire.rendezvous_server import RendezvousServer
from cicadatray.internal.wire.seed_announcer import SeedAnnouncer
from cicadatray.platform.errors import PlatformSettingsError
from cicadatray.platform.members import CLUSTER_SECRET, control_port, member_name, seed_members
from cicadatray.platform.operator_api import OperatorApi
from cicadatray.platform.roles import RoleProgram, role
from cicadatray.platform.settings import PlatformSettings
from cicadatray.replication.membership import required_voters

# The latency between data centres is a few milliseconds, so a leader that is silent for this long
# is not merely slow.
ELECTION_TIMEOUT_S = 0.45

log = structlog.get_logger(__name__)


class ControlRole:
    """A control process with the operators' interface.

    Without a data folder it has no replica. It then only forwards the operators' calls to the
    control group and tells other processes where that is: the number of instances with a disk in a
    data centre differs between deployments, and any instance of this role may be named as a seed.
    """

    __slots__ = (
        "announcer",
        "client",
        "daemon",
        "metrics",
        "operator_api",
        "probe",
        "rendezvous",
        "server",
        "supervisor",
    )

    def __init__(self, settings: PlatformSettings) -> None:
        address = settings.control_address
        if address is None:
            raise PlatformSettingsError("control needs a Control address for operators")
        seeds = seed_members(settings)
        own = self._own_address(settings)
        self.daemon: ControlDaemon | None = None
        self.rendezvous: RendezvousServer | None = None
        self.metrics = MetricsRegistry()
        codec = message_codec()
        if settings.data_folder:
            self.daemon = ControlDaemon(_control_settings(settings, seeds), CLUSTER_SECRET)
            self.metrics = self.daemon.metrics
            self.client = ControlClient(tuple(dict.fromkeys((*seeds, own))), codec, CLUSTER_SECRET)
            self.probe = LeaderProbe(self.client)
        else:
            self.client = ControlClient(seeds, codec, CLUSTER_SECRET)
            self.probe = LeaderProbe(
                self.client, own_rendezvous=MemberAddress(own.name, own.host, own.port)
            )
            self.rendezvous = RendezvousServer(
                own.host, own.port, self.client, self.probe, codec, CLUSTER_SECRET
            )
        self.supervisor = Supervisor(self.metrics)
        self.announcer = SeedAnnouncer(
            self.client, own.name, seeds, self._stored_members, self._stored_rendezvous
        )
        self.operator_api = OperatorApi(
            self.client, settings.data_centres, self.metrics, settings.has_accounts
        )
        self.server = HttpServer(self.operator_api.application(), address.host, address.port)

    async def run(self, stop: asyncio.Event) -> None:
        """Serves until `stop` is set, then transfers leadership and stops."""
        await self.server.start()
        self.supervisor.start("leader probe", self.probe.run)
        self.supervisor.start("seed announcer", self.announcer.run)
        try:
            if self.daemon is not None:
                await self.daemon.run(stop)
            else:
                await self._forward(stop)
        finally:
            await self.supervisor.stop()
            await self.server.stop()
            await self.client.close()

    def reload(self, settings: PlatformSettings) -> None:
        """Applies changed seeds, data centres and contracts."""
        self.operator_api.data_centres = settings.data_centres
        self.operator_api.requires_accounts = settings.has_accounts
        seeds = seed_members(settings)
        self.announcer.seeds = seeds
        if self.daemon is None:
            self.client.replace_seeds(seeds)
            return
        own = self._own_address(settings)
        self.client.replace_seeds(tuple(dict.fromkeys((*seeds, own))))
        self.daemon.control_client.replace_seeds(tuple(seed for seed in seeds if seed != own))

    def _own_address(self, settings: PlatformSettings) -> ControlMember:
        return ControlMember(member_name(settings.ip), settings.ip, control_port(settings))

    async def _forward(self, stop: asyncio.Event) -> None:
        """Forwards operators' calls and answers inner calls until `stop` is set."""
        assert self.rendezvous is not None
        await self.rendezvous.server.start()
        log.info("no data folder; operator calls are forwarded", port=self.rendezvous.server.port)
        await stop.wait()
        await self.rendezvous.server.stop()

    def _stored_members(self) -> tuple[MemberAddress, ...]:
        """Returns the members of the group that the data folder holds."""
        if self.daemon is None or self.daemon.replica.core_or_none is None:
            return ()
        return tuple(
            MemberAddress(member.member_id, member.host, member.port)
            for member in self.daemon.replica.members()
        )

    def _stored_rendezvous(self) -> tuple[MemberAddress, ...]:
        """Returns the control instances without a replica that the replicated state holds."""
        return self.daemon.state.rendezvous if self.daemon is not None else ()


def _control_settings(
    settings: PlatformSettings, seeds: tuple[ControlMember, ...]
) -> ControlSettings:
    return ControlSettings(
        name=member_name(settings.ip),
        data_centre=settings.data_centre,
        listen=Address(settings.ip, control_port(settings)),
        secret_file="",
        control=seeds,
        data_folder=settings.data_folder,
        bootstrap=settings.is_bootstrap,
        group_size=max(len(seeds), required_voters(settings.tolerated_losses)),
        election_timeout_s=ELECTION_TIMEOUT_S,
        longest_task_lease_s=settings.longest_lease_s,
        longest_task_stop_s=settings.longest_stop_s,
        urgent_start_s=settings.urgent_start_s,
        evacuation_start_limit_s=settings.evacuation_start_limit_s,
        dump_folder="/tmp",
    )


@role("control")
def build_control(settings: PlatformSettings) -> RoleProgram:
    """Returns the program of the control role."""
    return ControlRole(settings)
