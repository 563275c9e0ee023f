"""The capacity of the pools as far as a leader has heard of their workers."""

from cicadatray.internal.wire.messages.graph_messages import WorkerOffer
from cicadatray.scheduling.taskgraphs.resources import Resources

# The longest pause of an agent between two attempts to reach control. A pool of which no new agent
# was heard for this long is taken as known.
SETTLING_S = 5.0
# Above the 6,100 workers of the design size, so that only agents that left are dropped.
MAX_AGENTS = 8_192


class _KnownAgent:
    """The largest capacity and all labels of the workers that an agent has offered in a pool."""

    __slots__ = ("capacity", "labels")

    def __init__(self) -> None:
        self.capacity = Resources()
        self.labels: frozenset[str] = frozenset()

    def add(self, offer: WorkerOffer) -> None:
        """Adds an offer of the agent."""
        known, offered = self.capacity, offer.capacity
        self.capacity = Resources(
            max(known.cpu_millis, offered.cpu_millis),
            max(known.memory_mb, offered.memory_mb),
            max(known.accelerators, offered.accelerators),
        )
        self.labels |= frozenset(offer.labels)


class KnownCapacity:
    """Soft state of one leader: the workers of every agent that it has heard of in each pool.

    Workers are kept by agent, because a worker gets another identifier with each restart and would
    count twice. `agents` is in the order of the last call, and the one that has been silent longest
    is dropped beyond `MAX_AGENTS`. `grown_s` is when a new agent or a larger worker was last heard
    of, or a new label of one, by pool, in seconds of the event loop.
    """

    __slots__ = ("agents", "grown_s")

    def __init__(self) -> None:
        self.agents: dict[tuple[str, str], _KnownAgent] = {}
        self.grown_s: dict[str, float] = {}

    def record(self, agent_id: str, offer: WorkerOffer, now_s: float) -> None:
        """Records the worker that an agent offers."""
        key = (offer.pool, agent_id)
        agent = self.agents.pop(key, None) or _KnownAgent()
        before = (agent.capacity, agent.labels)
        agent.add(offer)
        self.agents[key] = agent
        if (agent.capacity, agent.labels) != before:
            self.grown_s[offer.pool] = now_s
        if len(self.agents) > MAX_AGENTS:
            del self.agents[next(iter(self.agents))]

    def agent_ids(self) -> set[str]:
        """Returns the agents that this leader has heard of."""
        return {agent_id for _, agent_id in self.agents}

    def is_settled(self, pool: str, now_s: float) -> bool:
        """Returns whether the pool is known and has not grown for a while."""
        return pool in self.grown_s and now_s - self.grown_s[pool] >= SETTLING_S

    def capacities(self, pool: str) -> dict[str, Resources]:
        """Returns the largest capacity of each agent of a pool."""
        return {name: known.capacity for (of, name), known in self.agents.items() if of == pool}

    def labels(self, pool: str) -> dict[str, frozenset[str]]:
        """Returns the labels of each agent of a pool."""
        return {name: known.labels for (of, name), known in self.agents.items() if of == pool}
