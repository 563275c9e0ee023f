"""The result of one round of placement."""

from cicadatray.scheduling.taskgraphs.assignment import Assignment
from cicadatray.scheduling.taskgraphs.task_id import TaskRun


class PlacementPlan:
    """`displaced` are runs to stop, so that more urgent work gets their room; by run, the
    graph that gets it.
    """

    __slots__ = ("assignments", "displaced")

    def __init__(self) -> None:
        self.assignments: list[Assignment] = []
        self.displaced: dict[TaskRun, str] = {}
