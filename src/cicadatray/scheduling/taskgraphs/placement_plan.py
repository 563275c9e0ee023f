"""The result of a placement round."""

from cicadatray.scheduling.taskgraphs.assignment import Assignment
from cicadatray.scheduling.taskgraphs.displacement import Displacement
from cicadatray.scheduling.taskgraphs.held_work import HeldWork
from cicadatray.scheduling.taskgraphs.passed_over_job import PassedOverJob
from cicadatray.scheduling.taskgraphs.placement_wait import PlacementWait
from cicadatray.scheduling.taskgraphs.task_id import TaskRun
from cicadatray.scheduling.taskgraphs.waiting_work import WaitingWork


class PlacementPlan:
    """The runs to start and to stop after a placement round.

    `displaced` maps each run to stop to the identifier of the graph that gets its capacity.
    `displacements` has their costs. `waits` maps each queue to its oldest work that was not placed.
    `held` has the work that waits although its pool has room for it. `passed_over` names jobs that
    are passed over since this round. `placed` has the work that the assignments start. Unless
    `is_complete` is set, the round ended before it had tried all waiting work.
    """

    __slots__ = (
        "assignments",
        "displaced",
        "displacements",
        "held",
        "is_complete",
        "passed_over",
        "placed",
        "waits",
    )

    def __init__(self) -> None:
        self.assignments: list[Assignment] = []
        self.displaced: dict[TaskRun, str] = {}
        self.displacements: list[Displacement] = []
        self.held: list[HeldWork] = []
        self.is_complete = False
        self.placed: list[WaitingWork] = []
        self.passed_over: list[PassedOverJob] = []
        self.waits: dict[str, PlacementWait] = {}
