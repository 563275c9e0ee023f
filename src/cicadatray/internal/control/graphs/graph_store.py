"""The replicated records of task graphs and queues."""

import msgspec

from cicadatray.internal.wire.messages.queue_configuration import QueueConfiguration
from cicadatray.scheduling.taskgraphs.graph_progress import GraphProgress


class GraphStore(msgspec.Struct):
    """`source` is the document that `queues` was read from."""

    queues: QueueConfiguration = QueueConfiguration()
    source: bytes = b""
    graphs: dict[str, GraphProgress] = {}
