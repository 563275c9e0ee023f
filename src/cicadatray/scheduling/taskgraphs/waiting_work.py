"""What waits to be placed: a whole gang, or one task."""

from cicadatray.scheduling.taskgraphs.graph_progress import GraphProgress
from cicadatray.scheduling.taskgraphs.job_value import MAX_LATENESS_FACTOR
from cicadatray.scheduling.taskgraphs.step import Step
from cicadatray.scheduling.taskgraphs.task_id import TaskId


class WaitingWork:
    """`indexes` are all tasks of a gang, or one. `run` is the number of the next run.

    `ready_s` is when it could have started first. Times are in seconds since 1970. `is_guaranteed`:
    the urgent jobs of its account need no more than the account's guarantee.
    """

    __slots__ = (
        "graph",
        "indexes",
        "is_guaranteed",
        "occurrence",
        "ready_s",
        "run",
        "step_number",
    )

    def __init__(
        self,
        graph: GraphProgress,
        occurrence: int,
        step_number: int,
        indexes: tuple[int, ...],
        run: int,
        ready_s: float,
    ) -> None:
        self.graph = graph
        self.occurrence = occurrence
        self.step_number = step_number
        self.indexes = indexes
        self.run = run
        self.ready_s = ready_s
        self.is_guaranteed = False

    @property
    def step(self) -> Step:
        """The step that the tasks belong to."""
        return self.graph.graph.steps[self.step_number]

    @property
    def priority(self) -> int:
        """The queue's priority; 0 comes first."""
        return self.graph.graph.policy.priority

    def task(self, index: int) -> TaskId:
        """Returns the name of one of the tasks."""
        return TaskId(self.graph.graph.graph_id, self.occurrence, self.step_number, index)

    def start_by_s(self) -> float:
        """Returns until when it must start to be on time."""
        graph = self.graph.graph
        policy = graph.policy
        begin_s = graph.due_s(self.occurrence) or self.graph.accepted_s
        objective_s = policy.stretch * graph.critical_path_s() + policy.target_latency_s
        return begin_s + objective_s - graph.critical_path_from_s(self.step_number)

    def rank(self, now_s: float) -> tuple[bool, int, bool, bool, float]:
        """Orders waiting work; the lowest is tried first.

        Within a priority guaranteed work goes first; then work that can still be on time goes
        before work that is late already, and the one that must start earlier first. Work that is
        too late to count comes last of all.
        """
        graph = self.graph.graph
        policy = graph.policy
        objective_s = policy.stretch * graph.critical_path_s() + policy.target_latency_s
        start_by_s = self.start_by_s()
        start_late_by_s = start_by_s + (MAX_LATENESS_FACTOR - 1) * objective_s
        return (
            now_s > start_late_by_s,
            policy.priority,
            not self.is_guaranteed,
            now_s > start_by_s,
            start_by_s,
        )
