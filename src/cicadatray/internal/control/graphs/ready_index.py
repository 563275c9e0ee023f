"""The ready work of all graphs under one leader."""

import math
from collections.abc import Generator, Mapping

from cicadatray.internal.control.graphs.unbegun_graphs import changed_graphs
from cicadatray.internal.wire.message import MessageStruct
from cicadatray.internal.wire.messages.graph_messages import AcceptGraph
from cicadatray.scheduling.taskgraphs.graph_progress import GraphProgress
from cicadatray.scheduling.taskgraphs.job_value import URGENT_PRIORITY
from cicadatray.scheduling.taskgraphs.ready_work import find_ready_steps
from cicadatray.scheduling.taskgraphs.rules.guarantee_rule import demand_of_graph
from cicadatray.scheduling.taskgraphs.waiting_work import WaitingWork

# The caller may pause after so many works that were found.
WORKS_BETWEEN_PAUSES = 64


class ReadyIndex:
    """Finds the ready work of a graph again only after a command has changed the graph.

    `works` holds the ready work of all active graphs by graph, in the order of their acceptance.
    `changed` has the graphs that have changed since. `valid_s` holds, for each repeated graph, when
    its work was found and when it has to be found again, in seconds since 1970.
    `accepted_urgent` is set once an urgent graph has been accepted. `urgent` holds the active
    urgent graphs in the order of their acceptance, and `has_new_urgent` is set once one was added
    or removed.
    """

    __slots__ = (
        "accepted_urgent",
        "changed",
        "graphs",
        "has_new_urgent",
        "urgent",
        "valid_s",
        "works",
    )

    def __init__(self, graphs: Mapping[str, GraphProgress]) -> None:
        self.graphs = graphs
        self.works: dict[str, list[WaitingWork]] = {}
        self.changed: dict[str, None] = dict.fromkeys(graphs)
        self.valid_s: dict[str, tuple[float, float]] = {}
        self.accepted_urgent = False
        self.urgent: dict[str, GraphProgress] = {}
        self.has_new_urgent = False

    def on_command_applied(self, command: MessageStruct) -> None:
        """Marks the graphs that a command has changed."""
        self.changed.update(dict.fromkeys(changed_graphs(command)))
        if isinstance(command, AcceptGraph):
            self.accepted_urgent |= command.graph.policy.priority == URGENT_PRIORITY

    def update(self, now_s: float) -> Generator[None, None, None]:
        """Finds the ready work of the graphs that have changed or become due.

        Yields wherever the caller may pause. `now_s` is in seconds since 1970.
        """
        for graph_id, (found_s, until_s) in self.valid_s.items():
            # The clock may have been set back.
            if not found_s <= now_s < until_s:
                self.changed[graph_id] = None
        while self.changed:
            changed, self.changed = self.changed, {}
            for graph_id in changed:
                yield from self._find(graph_id, now_s)
                yield

    def waiting(self) -> list[WaitingWork]:
        """Returns the ready work in the order in which the graphs were accepted."""
        return [work for works in self.works.values() for work in works]

    def has_ready_work(self, graph_id: str) -> bool:
        """Returns whether a graph had ready work at the last update."""
        return bool(self.works.get(graph_id))

    def _find(self, graph_id: str, now_s: float) -> Generator[None, None, None]:
        progress = self.graphs.get(graph_id)
        self.valid_s.pop(graph_id, None)
        if progress is None or not progress.is_active:
            self.works.pop(graph_id, None)
            self.has_new_urgent |= self.urgent.pop(graph_id, None) is not None
            return
        if progress.graph.policy.priority == URGENT_PRIORITY and graph_id not in self.urgent:
            # The graph keeps the result for the rule of guarantees, which cannot pause.
            demand_of_graph(progress)
            self.urgent[graph_id] = progress
            self.has_new_urgent = True
        works = self.works[graph_id] = []
        for work in find_ready_steps(progress, now_s):
            works.append(work)
            if len(works) % WORKS_BETWEEN_PAUSES == 0:
                yield
        self._limit_validity(progress, now_s)

    def _limit_validity(self, progress: GraphProgress, now_s: float) -> None:
        repetition = progress.graph.repetition
        if repetition is None:
            return
        passed_s = now_s - repetition.first_due_s
        if passed_s < 0:
            next_s = repetition.first_due_s
        elif repetition.interval_s <= 0:
            next_s = math.inf
        else:
            next_number = 1 + int(passed_s / repetition.interval_s)
            next_s = progress.graph.due_s(next_number)
            next_s = next_s if next_number < repetition.count else math.inf
        self.valid_s[progress.graph.graph_id] = (now_s, next_s)
