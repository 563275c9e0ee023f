"""What runs: a gang or one task, as a candidate for displacement."""

from cicadatray.scheduling.taskgraphs.job_value import value_at
from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.task_id import TaskRun

# Below this percentage a run's speed says less than the estimate of its step.
SPEED_FROM_PERCENT = 5


class RunningWork:
    """`rooms` holds what each run occupies, by worker. `percent` is -1 while it is unknown.

    `is_guaranteed` as in `WaitingWork`.
    """

    __slots__ = (
        "elapsed_s",
        "estimate_s",
        "graph_id",
        "is_checkpointable",
        "is_guaranteed",
        "late_by_s",
        "on_time_by_s",
        "percent",
        "priority",
        "rooms",
        "runs",
    )

    def __init__(
        self,
        graph_id: str,
        priority: int,
        is_checkpointable: bool,
        estimate_s: float,
        elapsed_s: float,
        percent: int,
    ) -> None:
        self.graph_id = graph_id
        self.priority = priority
        self.is_guaranteed = False
        self.on_time_by_s = 0.0
        self.late_by_s = 0.0
        self.is_checkpointable = is_checkpointable
        self.estimate_s = estimate_s
        self.elapsed_s = elapsed_s
        self.percent = percent
        self.runs: list[TaskRun] = []
        self.rooms: list[tuple[str, Resources]] = []

    def add(self, run: TaskRun, worker_id: str, room: Resources) -> None:
        """Adds one run of the gang."""
        self.runs.append(run)
        self.rooms.append((worker_id, room))

    def remaining_s(self) -> float:
        """Returns how long the work will still take, from its speed so far or its estimate."""
        if self.percent >= SPEED_FROM_PERCENT:
            return self.elapsed_s * (100 - self.percent) / self.percent
        return max(0.0, self.estimate_s - self.elapsed_s)

    def gives_way_to(self, priority: int, is_guaranteed: bool) -> bool:
        """Returns whether urgent work may displace this.

        Work inside a guarantee also displaces urgent work of accounts that use more than theirs.
        """
        if self.priority > priority:
            return True
        return is_guaranteed and self.priority == priority and not self.is_guaranteed

    def set_deadlines(self, on_time_by_s: float, late_by_s: float) -> None:
        """Sets until when it must end for its job to be on time, and to be worth anything.

        In seconds from now, both without what follows it in its graph.
        """
        self.on_time_by_s = on_time_by_s
        self.late_by_s = late_by_s

    def lost_value(self) -> float:
        """Returns what its job loses when it is stopped now and begins again."""
        remaining_s = self.remaining_s()
        again_s = remaining_s if self.is_checkpointable else self.elapsed_s + remaining_s
        end_s = again_s + RESTART_S
        before = value_at(self.priority, remaining_s, self.on_time_by_s, self.late_by_s)
        return before - value_at(self.priority, end_s, self.on_time_by_s, self.late_by_s)

    def loss(self) -> float:
        """Returns what a stop throws away, in core-seconds, times the starts of the work so far.

        Work that has begun again before is the last that should do so once more.
        """
        lost_s = 0.5 if self.is_checkpointable else self.elapsed_s
        weight = sum(
            room.cpu_millis / 1000 + ACCELERATOR_CORES * room.accelerators for _, room in self.rooms
        )
        starts = max((run.run for run in self.runs), default=1)
        return (lost_s * weight + STOP_COST * len(self.runs)) * starts


# Stopping, noting the end, waiting for other room and starting again.
RESTART_S = 2.0
# The platform's operators price an accelerator like this many cores.
ACCELERATOR_CORES = 8
# Core-seconds that a stop and a new start cost in any case: half a second of one small task.
STOP_COST = 4.0
