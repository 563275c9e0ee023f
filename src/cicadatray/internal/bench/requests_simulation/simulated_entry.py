"""An entry in memory, with the real request service."""

import random

from cicadatray.internal.bench.requests_simulation.simulated_agent import ADDRESS, SimulatedAgent
from cicadatray.internal.bench.requests_simulation.simulated_control import SimulatedControl
from cicadatray.internal.entry.agent_peer import AgentPeer
from cicadatray.internal.entry.directory_cache import DirectoryCache
from cicadatray.internal.entry.entry_context import EntryContext
from cicadatray.internal.settings.entry_settings import EntrySettings
from cicadatray.internal.wire.messages.directory_messages import AgentRecord
from cicadatray.internal.wire.messages.registry import message_codec

DEFAULT_QUEUE_LIMIT = 256


class _SimulatedDirectory(DirectoryCache):
    """A directory cache whose peers are the agents in memory."""

    __slots__ = ("agents", "seed")

    agents: dict[str, SimulatedAgent]
    seed: int

    def new_peer(self, record: AgentRecord) -> AgentPeer:
        peer = super().new_peer(record)
        peer.client = self.agents[record.agent_id]  # type: ignore[assignment]
        peer.health.random = random.Random(f"{self.seed}/{record.incarnation}")
        return peer


class SimulatedEntry:
    """An entry whose `directory` polls only when its `poll_once` or `run` is called."""

    __slots__ = ("context", "directory", "requests")

    def __init__(
        self,
        agents: list[SimulatedAgent],
        control: SimulatedControl,
        queue_limit: int = DEFAULT_QUEUE_LIMIT,
        seed: int = 0,
    ) -> None:
        self.directory = _SimulatedDirectory(control, message_codec(), b"")  # type: ignore[arg-type]
        self.directory.agents = {agent.agent_id: agent for agent in agents}
        self.directory.seed = seed
        settings = EntrySettings(
            name=f"entry-{seed}",
            data_centre="centre",
            listen=ADDRESS,
            secret_file="secret",
            control=(),
            http=ADDRESS,
            queue_limit=queue_limit,
        )
        self.context = EntryContext(settings, self.directory, control)  # type: ignore[arg-type]
        self.requests = self.context.requests
        self.requests.resources.selector.random = random.Random(seed)
