"""Running work as a candidate for displacement."""

from cicadatray.scheduling.taskgraphs.job_value import value_at
from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.task_id import TaskRun

# Below this progress the speed of a run predicts its end less well than the step's estimate.
MIN_PERCENT_FOR_SPEED = 5


class RunningWork:
    """A running gang or single task.

    `occupied` holds the worker of each run and what the run occupies there. `percent` is the
    progress, or -1 while it is unknown. `is_long_running`: it does not end by itself.
    `is_guaranteed` has the same meaning as in `WaitingWork`. `client_account` is the account of its
    graph. `pace_remaining_s` is the remaining time at the pace of the last seconds, None unless
    paces are measured.
    """

    __slots__ = (
        "client_account",
        "elapsed_s",
        "estimate_s",
        "graph_id",
        "is_checkpointable",
        "is_guaranteed",
        "is_long_running",
        "occupied",
        "on_time_by_s",
        "pace_remaining_s",
        "percent",
        "priority",
        "runs",
        "worthless_after_s",
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
        self.client_account = ""
        self.priority = priority
        self.is_guaranteed = False
        self.is_long_running = False
        self.on_time_by_s = 0.0
        self.worthless_after_s = 0.0
        self.is_checkpointable = is_checkpointable
        self.estimate_s = estimate_s
        self.elapsed_s = elapsed_s
        self.percent = percent
        self.pace_remaining_s: float | None = None
        self.runs: list[TaskRun] = []
        self.occupied: list[tuple[str, Resources]] = []

    def add(self, run: TaskRun, worker_id: str, demand: Resources) -> None:
        """Adds one run and the resources that it occupies on its worker."""
        self.runs.append(run)
        self.occupied.append((worker_id, demand))

    def remaining_s(self) -> float:
        """Returns the expected remaining time, from the speed or from the estimate.

        The pace of the last seconds is closer than the mean, if the worker has changed its speed.
        """
        if self.pace_remaining_s is not None:
            return self.pace_remaining_s
        if self.percent >= MIN_PERCENT_FOR_SPEED:
            return self.elapsed_s * (100 - self.percent) / self.percent
        return max(0.0, self.estimate_s - self.elapsed_s)

    def can_be_displaced_by(self, priority: int, is_guaranteed: bool) -> bool:
        """Returns whether urgent work may displace this work.

        Work within a guarantee may also displace urgent work of accounts that exceed theirs.
        """
        if self.priority > priority:
            return True
        return is_guaranteed and self.priority == priority and not self.is_guaranteed

    def set_deadlines(self, on_time_by_s: float, worthless_after_s: float) -> None:
        """Sets until when the work must end for its job to be on time, and to have any value.

        Both are in seconds from now and leave time for the steps that follow in the graph.
        """
        self.on_time_by_s = on_time_by_s
        self.worthless_after_s = worthless_after_s

    def lost_job_value(self) -> float:
        """Returns the value that the job loses if this work is stopped now and restarted."""
        remaining_s = self.remaining_s()
        rerun_s = remaining_s if self.is_checkpointable else self.elapsed_s + remaining_s
        end_s = rerun_s + RESTART_S
        before = value_at(self.priority, remaining_s, self.on_time_by_s, self.worthless_after_s)
        return before - value_at(self.priority, end_s, self.on_time_by_s, self.worthless_after_s)

    def displacement_cost(self) -> float:
        """Returns the cost of a stop in core-seconds, times the number of starts so far.

        The factor protects work that has been restarted before from being restarted again.
        """
        starts = max((run.run for run in self.runs), default=1)
        return (self.lost_core_seconds() + STOP_COST * len(self.runs)) * starts

    def lost_core_seconds(self) -> float:
        """Returns the work that a stop throws away."""
        lost_s = 0.5 if self.is_checkpointable else self.elapsed_s
        return lost_s * self.cores()

    def cores(self) -> float:
        """Returns the cores that all its runs occupy, with accelerators converted to cores."""
        return sum(core_equivalents(demand) for _, demand in self.occupied)


def core_equivalents(resources: Resources) -> float:
    """Returns the cores of an amount of resources, with accelerators converted to cores."""
    return resources.cpu_millis / 1000 + ACCELERATOR_CORES * resources.accelerators


# The time to stop a run, record its end, wait for capacity elsewhere and start it again.
RESTART_S = 2.0
# The platform's operators charge as much for an accelerator as for this many cores.
ACCELERATOR_CORES = 8
# The fixed cost of a stop and a new start in core-seconds: half a second of one small task.
STOP_COST = 4.0
