"""The active graphs of each queue of which nothing has started yet."""

from collections.abc import Generator, Iterator, Mapping

from cicadatray.internal.wire.message import MessageStruct
from cicadatray.internal.wire.messages.graph_messages import AcceptGraph, EndGraph, RecordRuns
from cicadatray.scheduling.taskgraphs.graph_progress import GraphProgress


def changed_graphs(command: MessageStruct) -> Iterator[str]:
    """Yields the graphs that a command may have changed, some of them several times."""
    if isinstance(command, AcceptGraph):
        yield command.graph.graph_id
    elif isinstance(command, EndGraph):
        yield command.graph_id
    elif isinstance(command, RecordRuns):
        for placed in command.ends:
            yield placed.end.run.task.graph_id
        for start in command.starts:
            yield start.run.task.graph_id
        yield from command.removed_graph_ids


class UnbegunGraphs:
    """Follows the commands, so that a read of a queue takes no pass over all graphs.

    `by_queue` holds the graphs of each queue, and `queues` the queue of each of them.
    """

    __slots__ = ("by_queue", "graphs", "queues")

    def __init__(self, graphs: Mapping[str, GraphProgress]) -> None:
        self.graphs = graphs
        self.by_queue: dict[str, set[str]] = {}
        self.queues: dict[str, str] = {}

    def load(self) -> Generator[None, None, None]:
        """Reads all graphs; yields wherever the caller may pause."""
        for graph_id in list(self.graphs):
            self._update(graph_id)
            yield

    def on_command_applied(self, command: MessageStruct) -> None:
        """Updates the graphs that a command has changed."""
        for graph_id in changed_graphs(command):
            self._update(graph_id)

    def count(self, queue: str) -> int:
        """Returns how many graphs of a queue wait."""
        return len(self.by_queue.get(queue, ()))

    def _update(self, graph_id: str) -> None:
        progress = self.graphs.get(graph_id)
        if progress is None or not progress.is_active or progress.has_begun:
            if graph_id in self.queues:
                self.by_queue[self.queues.pop(graph_id)].discard(graph_id)
            return
        queue = self.queues[graph_id] = progress.graph.policy.queue
        self.by_queue.setdefault(queue, set()).add(graph_id)
