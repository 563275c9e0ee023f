"""The replicated records of task graphs and queues."""

import msgspec

from cicadatray.internal.wire.messages.queue_configuration import QueueConfiguration
from cicadatray.scheduling.taskgraphs.graph_progress import GraphProgress

# More than the workers of any deployment today; each replaced worker leaves an entry behind.
AGENT_LIMIT = 512


class GraphStore(msgspec.Struct):
    """The replicated state of task graphs and queues.

    `source` is the document from which `queues` was read. `agents` maps each worker on which runs
    were ordered to its agent, in the order of the first run on each, so that a new leader can tell
    which worker has ended when an agent offers another one. `silences` holds, for silent workers on
    which runs may exist, for how long in seconds each has at least been without a renewal of its
    lease, so that a new leader does not wait for a whole lease once more.
    """

    queues: QueueConfiguration = QueueConfiguration()
    source: bytes = b""
    graphs: dict[str, GraphProgress] = {}
    agents: dict[str, str] = {}
    silences: dict[str, float] = {}

    def record_agent(self, worker_id: str, agent_id: str) -> None:
        """Records the agent of a worker, and evicts workers without runs above `AGENT_LIMIT`."""
        self.agents[worker_id] = agent_id
        if len(self.agents) <= AGENT_LIMIT:
            return
        used = {
            task.worker_id for progress in self.graphs.values() for task in progress.tasks.values()
        }
        self.agents = {worker: agent for worker, agent in self.agents.items() if worker in used}

    def successors(self, worker_id: str) -> tuple[str, ...]:
        """Returns the later workers of a worker's agent; none for a worker without an entry."""
        agent_id = self.agents.get(worker_id)
        if agent_id is None:
            return ()
        recorded = [worker for worker, agent in self.agents.items() if agent == agent_id]
        return tuple(recorded[recorded.index(worker_id) + 1 :])
