"""The entry's copy of the directory of agents and of the configuration."""

import asyncio

import structlog

from cicadatray.internal.control.leases import CONFIGURATION_VALIDITY_S
from cicadatray.internal.entry.agent_peer import AgentPeer
from cicadatray.internal.wire.codec import Codec
from cicadatray.internal.wire.control_client import ControlClient, ControlUnavailableError
from cicadatray.internal.wire.messages.configuration_messages import (
    AccountRecord,
    ConfigurationReply,
    ReadConfiguration,
)
from cicadatray.internal.wire.messages.directory_messages import (
    AgentRecord,
    DirectoryReply,
    ReadDirectory,
)
from cicadatray.scheduling.rules import DEFAULT_SHARE_WEIGHT

POLL_INTERVAL_S = 0.5

log = structlog.get_logger(__name__)


class DirectoryCache:
    """Polls the control leader. The configuration version only rises.

    `confirmed_at_s` is the event loop time at which the last poll was sent that confirmed the
    configuration held here.
    """

    __slots__ = (
        "accounts_by_digest",
        "by_service",
        "codec",
        "configuration",
        "confirmed_at_s",
        "control",
        "peers",
        "secret",
        "settled",
        "term",
        "version",
    )

    def __init__(self, control: ControlClient, codec: Codec, secret: bytes) -> None:
        self.control = control
        self.codec = codec
        self.secret = secret
        self.peers: dict[str, AgentPeer] = {}
        self.by_service: dict[str, list[AgentPeer]] = {}
        self.settled = False
        self.term = 0
        self.version = -1
        self.configuration: ConfigurationReply | None = None
        self.accounts_by_digest: dict[str, AccountRecord] = {}
        self.confirmed_at_s = float("-inf")

    async def run(self) -> None:
        """Polls until cancelled."""
        while True:
            try:
                await self.poll_once()
            except ControlUnavailableError as error:
                log.warning("directory not refreshed", reason=str(error))
            await asyncio.sleep(POLL_INTERVAL_S)

    async def poll_once(self) -> None:
        """Refreshes directory and configuration.

        Raises:
            ControlUnavailableError: no leader answered in time.
        """
        sent_at_s = asyncio.get_running_loop().time()
        call = ReadDirectory(cached_term=self.term, cached_version=self.version)
        reply = await self.control.call(call, CONFIGURATION_VALIDITY_S)
        if not isinstance(reply, DirectoryReply):
            return
        if (reply.term, reply.version) < (self.term, self.version):
            return  # overtaken by the reply to another poll
        if reply.agents is not None:
            await self._take_agents(reply.agents)
        self.settled = reply.is_complete
        self.term = reply.term
        self.version = reply.version
        if self.configuration is None or reply.configuration_version > self.configuration.version:
            await self._read_configuration()
        if self.configuration and reply.configuration_version <= self.configuration.version:
            self.confirmed_at_s = sent_at_s

    def is_confirmed(self) -> bool:
        """Tells whether the configuration held here was in effect within the bound."""
        now_s = asyncio.get_running_loop().time()
        return now_s - self.confirmed_at_s <= CONFIGURATION_VALIDITY_S

    def find(self, agent_id: str, incarnation: str) -> AgentPeer | None:
        """Returns the agent if the directory lists this incarnation of it."""
        peer = self.peers.get(agent_id)
        return peer if peer is not None and peer.record.incarnation == incarnation else None

    async def is_gone(self, agent_id: str, incarnation: str) -> bool:
        """Asks the leader whether this incarnation of an agent has ended.

        The copy held here may be older than the incarnation, and a new leader has not heard of all
        agents yet, so only a fresh answer of a settled leader counts.

        Raises:
            ControlUnavailableError: no leader answered in time.
        """
        await self.poll_once()
        return self.settled and self.find(agent_id, incarnation) is None

    def all_peers_of(self, service: str) -> list[AgentPeer]:
        """Returns all agents of a service."""
        return self.by_service.get(service, [])

    def peers_of(self, service: str) -> list[AgentPeer]:
        """Returns the agents of a service that accept work."""
        return [peer for peer in self.all_peers_of(service) if peer.accepts_work()]

    def knows_service(self, service: str) -> bool:
        """Tells whether any agent of the service is known."""
        return service in self.by_service

    def weight_of(self, client_account: str) -> float:
        """Returns the share of a client account that the rules in effect give."""
        if self.configuration is None:
            return DEFAULT_SHARE_WEIGHT
        return self.configuration.rules.shares.get(client_account, DEFAULT_SHARE_WEIGHT)

    def new_peer(self, record: AgentRecord) -> AgentPeer:
        """Returns the peer of an agent that was not listed before."""
        return AgentPeer(record, self.codec, self.secret)

    async def _take_agents(self, agents: tuple[AgentRecord, ...]) -> None:
        listed = {agent.agent_id: agent for agent in agents}
        removed: list[AgentPeer] = []
        for agent_id, peer in list(self.peers.items()):
            record = listed.get(agent_id)
            if record is None or record.incarnation != peer.record.incarnation:
                removed.append(self.peers.pop(agent_id))
            else:
                peer.record = record
        for agent_id, record in listed.items():
            if agent_id not in self.peers:
                self.peers[agent_id] = self.new_peer(record)
        self.by_service = {}
        for peer in self.peers.values():
            self.by_service.setdefault(peer.record.service, []).append(peer)
        for peer in removed:
            await peer.retire()

    async def _read_configuration(self) -> None:
        reply = await self.control.call(ReadConfiguration(), CONFIGURATION_VALIDITY_S)
        if not isinstance(reply, ConfigurationReply):
            return
        if self.configuration is not None and reply.version < self.configuration.version:
            return
        self.configuration = reply
        accounts = reply.accounts.accounts
        self.accounts_by_digest = {account.credential_sha256: account for account in accounts}
        log.info("configuration in effect", version=reply.version)
