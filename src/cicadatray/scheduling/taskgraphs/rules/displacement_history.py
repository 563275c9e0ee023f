"""What was displaced a moment ago, and for whom."""

from cicadatray.scheduling.taskgraphs.displacement import Displacement
from cicadatray.scheduling.taskgraphs.running_work import RunningWork
from cicadatray.scheduling.taskgraphs.task_id import TaskId
from cicadatray.scheduling.taskgraphs.waiting_work import WaitingWork

# Work that displaced others, or was displaced, is not displaced for this long after its start:
# otherwise one burst of urgent jobs displaces the same work again and again.
PROTECTED_S = 2.0
# Longer than any urgent job of the load sheets waits; later its displacements no longer count.
REMEMBERED_S = 30.0


class DisplacementHistory:
    """Displacements of the last seconds; kept in `RuleMemory`.

    `spent` holds, by graph, the cost of all that was displaced for it, in core-seconds.
    `displacing_s` and `displaced_s` hold when that last happened, in seconds since 1970.
    """

    __slots__ = ("displaced_s", "displacing_s", "spent")

    def __init__(self) -> None:
        self.spent: dict[str, float] = {}
        self.displacing_s: dict[str, float] = {}
        self.displaced_s: dict[TaskId, float] = {}

    def record(self, work: WaitingWork, displacement: Displacement, now_s: float) -> None:
        """Records a displacement."""
        graph_id = work.graph.graph.graph_id
        self.spent[graph_id] = self.spent.get(graph_id, 0.0) + displacement.cost
        self.displacing_s[graph_id] = now_s
        for victim in displacement.victims:
            for run in victim.runs:
                self.displaced_s[run.task] = now_s

    def forget(self, now_s: float) -> None:
        """Drops what no longer counts."""
        for graph_id, at_s in list(self.displacing_s.items()):
            if now_s - at_s > REMEMBERED_S:
                del self.displacing_s[graph_id], self.spent[graph_id]
        for task, at_s in list(self.displaced_s.items()):
            if now_s - at_s > REMEMBERED_S:
                del self.displaced_s[task]

    def is_protected(self, running: RunningWork) -> bool:
        """Returns whether the work has just started after it displaced others or was displaced."""
        if running.elapsed_s >= PROTECTED_S:
            return False
        if running.graph_id in self.displacing_s:
            return True
        return any(run.task in self.displaced_s for run in running.runs)
