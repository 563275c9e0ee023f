"""A control leader in memory, with the real rules for keys."""

import asyncio

from cicadatray.internal.bench.requests_simulation.simulated_agent import (
    LATENCY_S,
    SimulatedAgent,
)
from cicadatray.internal.control.command_registry import appliers
from cicadatray.internal.control.control_state import ControlState
from cicadatray.internal.control.key_state import key_name
from cicadatray.internal.wire.control_client import ControlUnavailableError
from cicadatray.internal.wire.message import MessageStruct
from cicadatray.internal.wire.messages.configuration_messages import (
    AccountRecord,
    Accounts,
    ConfigurationReply,
    ReadConfiguration,
)
from cicadatray.internal.wire.messages.directory_messages import DirectoryReply, ReadDirectory
from cicadatray.internal.wire.messages.key_messages import KeyAbsent, ReadKey
from cicadatray.scheduling.inventory import Inventory
from cicadatray.scheduling.rules import Rules
from cicadatray.scheduling.shape import Scope, Shape

COMMIT_S = 0.003


class SimulatedControl:
    """Replaces `ControlClient`.

    `lose_replies` is the number of further calls that are committed and whose answer is lost;
    `available` is False while there is no leader. The announcements of `unlisted` agents do not
    arrive, though entries can reach the agents.
    """

    __slots__ = (
        "accounts",
        "agents",
        "available",
        "index",
        "lose_replies",
        "shares",
        "state",
        "unlisted",
        "version",
    )

    def __init__(self, agents: list[SimulatedAgent], shares: dict[str, float]) -> None:
        self.agents = agents
        self.shares = shares
        self.unlisted: set[str] = set()
        self.accounts: tuple[AccountRecord, ...] = ()
        self.state = ControlState()
        self.index = 0
        self.version = 0
        self.available = True
        self.lose_replies = 0

    async def call(self, message: MessageStruct, timeout_s: float) -> MessageStruct:
        """Answers one call.

        Raises:
            ControlUnavailableError: there is no leader, or the answer is lost.
        """
        await asyncio.sleep(LATENCY_S)
        if not self.available:
            await asyncio.sleep(timeout_s)
            raise ControlUnavailableError("no leader")
        reply = await self._answer(message)
        if self.lose_replies > 0 and not isinstance(message, ReadDirectory | ReadConfiguration):
            self.lose_replies -= 1
            raise ControlUnavailableError("no answer in time")
        return reply

    async def _answer(self, message: MessageStruct) -> MessageStruct:
        if isinstance(message, ReadDirectory):
            return self._next_directory()
        if isinstance(message, ReadConfiguration):
            shape = Shape(8, Scope.WORKER)
            rules = Rules("compact", shape, shares=self.shares)
            return ConfigurationReply(
                version=1, inventory=Inventory(()), rules=rules, accounts=Accounts(self.accounts)
            )
        if isinstance(message, ReadKey):
            record = self.state.keys.get(key_name(message.client_account, message.key))
            return record if record is not None else KeyAbsent()
        await asyncio.sleep(COMMIT_S)
        self.index += 1
        return appliers[type(message)](self.state, self.index, message)

    def _next_directory(self) -> DirectoryReply:
        self.version += 1
        agents = tuple(agent.record() for agent in self.agents if self._is_listed(agent))
        return DirectoryReply(
            term=1, version=self.version, configuration_version=1, is_complete=True, agents=agents
        )

    def _is_listed(self, agent: SimulatedAgent) -> bool:
        return agent.up and agent.agent_id not in self.unlisted
