"""Work that waits for placement."""

import math
from collections.abc import Iterator, Sequence

from cicadatray.scheduling.taskgraphs.graph_progress import GraphProgress
from cicadatray.scheduling.taskgraphs.job_value import MAX_LATENESS_FACTOR
from cicadatray.scheduling.taskgraphs.step import Step
from cicadatray.scheduling.taskgraphs.task_id import TaskId


class WaitingWork:
    """A gang or a single task that waits for placement.

    `indexes` lists all tasks of a gang, or one task. `run` is the number of the next run. `ready_s`
    is the earliest time at which it could have started, in seconds since 1970. `is_guaranteed`: the
    guarantee of its account covers its graph. `displaced_s` is when running work was first
    displaced for its graph, infinite if none was. `waves` has the waves of each step of its graph,
    if they are known. `followers` are the other ready single tasks of its step, each with the
    number of its next run, which have the same rank and need the same room.
    """

    __slots__ = (
        "graph",
        "displaced_s",
        "followers",
        "indexes",
        "is_guaranteed",
        "occurrence",
        "ready_s",
        "run",
        "step_number",
        "waves",
    )

    def __init__(
        self,
        graph: GraphProgress,
        occurrence: int,
        step_number: int,
        indexes: tuple[int, ...],
        run: int,
        ready_s: float,
        followers: Sequence[tuple[int, int]] = (),
    ) -> None:
        self.graph = graph
        self.occurrence = occurrence
        self.step_number = step_number
        self.indexes = indexes
        self.run = run
        self.ready_s = ready_s
        self.followers = followers
        self.is_guaranteed = False
        self.displaced_s = math.inf
        self.waves: tuple[float, ...] = ()

    @property
    def task_count(self) -> int:
        """The number of tasks, with those of its followers."""
        return len(self.indexes) + len(self.followers)

    def each(self) -> Iterator["WaitingWork"]:
        """Yields the work and each of its followers as work without followers."""
        if not self.followers:
            yield self
            return
        for index, run in ((self.indexes[0], self.run), *self.followers):
            work = WaitingWork(
                self.graph, self.occurrence, self.step_number, (index,), run, self.ready_s
            )
            work.is_guaranteed = self.is_guaranteed
            work.displaced_s = self.displaced_s
            work.waves = self.waves
            yield work

    @property
    def step(self) -> Step:
        """The step that the tasks belong to."""
        return self.graph.graph.steps[self.step_number]

    @property
    def step_key(self) -> tuple[str, int, int]:
        """The graph, the occurrence and the step of the tasks."""
        return (self.graph.graph.graph_id, self.occurrence, self.step_number)

    @property
    def priority(self) -> int:
        """The priority of the queue; 0 is the highest."""
        return self.graph.graph.policy.priority

    @property
    def is_suspect(self) -> bool:
        """Whether a task may crash the worker that starts it, so that it must start alone."""
        return self.run > 1 and self.graph.is_suspect(self.task(self.indexes[0]))

    def task(self, index: int) -> TaskId:
        """Returns the identifier of one of the tasks."""
        return TaskId(self.graph.graph.graph_id, self.occurrence, self.step_number, index)

    def latest_start_s(self) -> float:
        """Returns the latest start with which the job is still on time, in seconds since 1970."""
        graph = self.graph.graph
        begin_s = graph.due_s(self.occurrence) or self.graph.accepted_s
        path_s = graph.critical_path_from_s(self.step_number, self.waves)
        return begin_s + graph.objective_s(self.waves) - path_s

    def rank(self, now_s: float) -> tuple[bool, int, bool, bool, float, float]:
        """Returns the sort key of the work; the lowest is tried first.

        Within a priority, guaranteed work goes first, then work that can still be on time, then
        work that is late already. Work that has displaced other work goes before its equals, in
        the order of displacement: if another took the freed capacity, more would have to be
        stopped. Otherwise the earlier latest start decides. Work that is too late to have any
        value comes last, whatever its priority, unless it is guaranteed: it may displace other
        work at any time, and must not then wait behind what it displaces. Suspect work needs an
        idle worker and does not fall behind for being late, or it would never get one.
        """
        graph = self.graph.graph
        policy = graph.policy
        objective_s = graph.objective_s(self.waves)
        latest_start_s = self.latest_start_s()
        worthless_start_s = latest_start_s + (MAX_LATENESS_FACTOR - 1) * objective_s
        return (
            now_s > worthless_start_s and not self.is_guaranteed,
            policy.priority,
            not self.is_guaranteed,
            now_s > latest_start_s and not self.is_suspect,
            self.displaced_s,
            latest_start_s,
        )
