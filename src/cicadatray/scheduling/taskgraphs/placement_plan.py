"""The result of a placement round."""

from cicadatray.scheduling.taskgraphs.assignment import Assignment
from cicadatray.scheduling.taskgraphs.placement_wait import PlacementWait
from cicadatray.scheduling.taskgraphs.task_id import TaskRun


class PlacementPlan:
    """The runs to start and to stop after a placement round.

    `displaced` maps each run to stop to the identifier of the graph that gets its capacity.
    `waits` maps each queue to its oldest work that was not placed.
    """

    __slots__ = ("assignments", "displaced", "waits")

    def __init__(self) -> None:
        self.assignments: list[Assignment] = []
        self.displaced: dict[TaskRun, str] = {}
        self.waits: dict[str, PlacementWait] = {}
