"""The result of one round of placement."""

from cicadatray.scheduling.taskgraphs.assignment import Assignment
from cicadatray.scheduling.taskgraphs.placement_wait import PlacementWait
from cicadatray.scheduling.taskgraphs.task_id import TaskRun


class PlacementPlan:
    """`displaced` are runs to stop, so that more urgent work gets their room; by run, the
    graph that gets it. `waits` holds the oldest work of each queue that was not placed.
    """

    __slots__ = ("assignments", "displaced", "waits")

    def __init__(self) -> None:
        self.assignments: list[Assignment] = []
        self.displaced: dict[TaskRun, str] = {}
        self.waits: dict[str, PlacementWait] = {}
