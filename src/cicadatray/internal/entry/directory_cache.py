"""A local copy of the agent directory and of the configuration."""

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
    """A copy of the directory and the configuration, refreshed by polling the control leader.

    The configuration version never decreases. `confirmed_at_s` is the event loop time at which the
    last poll that confirmed the local configuration was sent.
    """

    __slots__ = (
        "accounts_by_digest",
        "by_service",
        "codec",
        "configuration",
        "confirmed_at_s",
        "control",
        "is_complete",
        "peers",
        "secret",
        "term",
        "version",
    )

    def __init__(self, control: ControlClient, codec: Codec, secret: bytes) -> None:
        self.control = control
        self.codec = codec
        self.secret = secret
        self.peers: dict[str, AgentPeer] = {}
        self.by_service: dict[str, list[AgentPeer]] = {}
        self.is_complete = False
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
        """Refreshes the directory and the configuration.

        Raises:
            ControlUnavailableError: no leader replied in time.
        """
        sent_at_s = asyncio.get_running_loop().time()
        call = ReadDirectory(cached_term=self.term, cached_version=self.version)
        reply = await self.control.call(call, CONFIGURATION_VALIDITY_S)
        if not isinstance(reply, DirectoryReply):
            return
        if (reply.term, reply.version) < (self.term, self.version):
            return  # a newer reply has already been applied
        if reply.agents is not None:
            await self._apply_agents(reply.agents)
        self.is_complete = reply.is_complete
        self.term = reply.term
        self.version = reply.version
        if self.configuration is None or reply.configuration_version > self.configuration.version:
            await self._read_configuration()
        if self.configuration and reply.configuration_version <= self.configuration.version:
            self.confirmed_at_s = sent_at_s

    def is_confirmed(self) -> bool:
        """Returns whether the configuration was confirmed within `CONFIGURATION_VALIDITY_S`."""
        now_s = asyncio.get_running_loop().time()
        return now_s - self.confirmed_at_s <= CONFIGURATION_VALIDITY_S

    def find(self, agent_id: str, incarnation: str) -> AgentPeer | None:
        """Returns the peer of an agent if the directory lists this incarnation of it."""
        peer = self.peers.get(agent_id)
        return peer if peer is not None and peer.record.incarnation == incarnation else None

    async def has_incarnation_ended(self, agent_id: str, incarnation: str) -> bool:
        """Asks the leader whether this incarnation of an agent has ended.

        The local copy may be older than the incarnation, and the directory of a new leader is
        incomplete until all agents have announced themselves. Only a fresh reply from a leader with
        a complete directory is conclusive.

        Raises:
            ControlUnavailableError: no leader replied in time.
        """
        await self.poll_once()
        return self.is_complete and self.find(agent_id, incarnation) is None

    def all_peers_of(self, service: str) -> list[AgentPeer]:
        """Returns all agents of a service."""
        return self.by_service.get(service, [])

    def peers_of(self, service: str) -> list[AgentPeer]:
        """Returns the agents of a service that accept work."""
        return [peer for peer in self.all_peers_of(service) if peer.accepts_work()]

    def has_service(self, service: str) -> bool:
        """Returns whether the directory lists an agent of the service."""
        return service in self.by_service

    def weight_of(self, client_account: str) -> float:
        """Returns the weight of a client account in fair queueing under the rules in effect."""
        if self.configuration is None:
            return DEFAULT_SHARE_WEIGHT
        return self.configuration.rules.shares.get(client_account, DEFAULT_SHARE_WEIGHT)

    def new_peer(self, record: AgentRecord) -> AgentPeer:
        """Returns a new peer for an agent."""
        return AgentPeer(record, self.codec, self.secret)

    async def _apply_agents(self, agents: tuple[AgentRecord, ...]) -> None:
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
