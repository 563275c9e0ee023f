"""The replicated records of task graphs and queues."""

import msgspec

from cicadatray.internal.wire.messages.queue_configuration import QueueConfiguration
from cicadatray.scheduling.taskgraphs.graph_progress import GraphProgress

# More workers than a deployment has now; each replaced worker leaves one entry behind.
AGENT_LIMIT = 512


class GraphStore(msgspec.Struct):
    """`source` is the document that `queues` was read from.

    `agents` names the agent of each worker that runs were ordered on, so that a new leader knows
    which worker has ended when an agent offers another one.
    """

    queues: QueueConfiguration = QueueConfiguration()
    source: bytes = b""
    graphs: dict[str, GraphProgress] = {}
    agents: dict[str, str] = {}

    def record_agent(self, worker_id: str, agent_id: str) -> None:
        """Notes the agent of a worker, and from time to time forgets workers without runs."""
        self.agents[worker_id] = agent_id
        if len(self.agents) <= AGENT_LIMIT:
            return
        used = {
            task.worker_id for progress in self.graphs.values() for task in progress.tasks.values()
        }
        self.agents = {worker: agent for worker, agent in self.agents.items() if worker in used}
