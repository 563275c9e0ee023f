"""A gang, or a task, that runs on emulated workers."""

from cicadatray.scheduling.taskgraphs.running_work import ACCELERATOR_CORES
from cicadatray.scheduling.taskgraphs.task_id import TaskRun
from cicadatray.scheduling.taskgraphs.waiting_work import WaitingWork


class EmulatedRun:
    """Models a gang, or a task, from its start to its end.

    `saved_s` is the progress that earlier runs saved, `progress_s` that of this run until
    `updated_s`; from then on it grows by `speed` a second. `stop_end_s` is the time at which a
    requested stop is complete, `lost_s` that at which a worker ended the run because its lease
    expired; both are None if that does not happen. `stop_cause` says why the run was stopped.
    """

    __slots__ = (
        "duration_s",
        "fails",
        "lost_s",
        "placed_tasks",
        "progress_s",
        "saved_s",
        "speed",
        "started_s",
        "stop_cause",
        "stop_end_s",
        "updated_s",
        "work",
    )

    def __init__(
        self, work: WaitingWork, started_s: float, duration_s: float, saved_s: float, fails: bool
    ) -> None:
        self.work = work
        self.started_s = started_s
        self.duration_s = duration_s
        self.saved_s = saved_s
        self.fails = fails
        self.progress_s = 0.0
        self.updated_s = started_s
        self.speed = 1.0
        self.stop_end_s: float | None = None
        self.stop_cause = ""
        self.lost_s: float | None = None
        self.placed_tasks: list[tuple[TaskRun, str]] = []

    def end_s(self) -> float:
        """Returns the time at which the run ends, by itself or because it is stopped or lost."""
        ends_s = (self._own_end_s(), self.stop_end_s, self.lost_s)
        return min(end for end in ends_s if end is not None)

    def is_stopped(self) -> bool:
        """Returns whether a stop ends the run before it ends by itself."""
        return self.stop_end_s is not None and self.stop_end_s < self._own_end_s()

    def is_lost(self) -> bool:
        """Returns whether the end of a lease ends the run before anything else does."""
        return self.lost_s is not None and self.lost_s == self.end_s() < self._own_end_s()

    def set_speed(self, speed: float, now_s: float) -> None:
        """Changes the progress that the run makes in a second from now on."""
        if speed != self.speed:
            self.progress_s = self.progress_at_s(now_s)
            self.updated_s = now_s
            self.speed = speed

    def progress_at_s(self, at_s: float) -> float:
        """Returns the work that this run has done until a time, in seconds on a sound worker."""
        return self.progress_s + (at_s - self.updated_s) * self.speed

    def _own_end_s(self) -> float:
        remaining_s = self.duration_s - self.saved_s
        own_s = remaining_s / 2 if self.fails else remaining_s
        return self.updated_s + (own_s - self.progress_s) / self.speed

    def percent_done(self, now_s: float) -> int:
        """Returns the completed part of the work in percent, at most 99."""
        done_s = self.saved_s + self.progress_at_s(now_s)
        return min(99, int(100 * done_s / self.duration_s))

    def core_seconds(self, elapsed_s: float) -> float:
        """Returns the core-seconds that all its tasks use in this time."""
        needs = self.work.step.needs
        cores = needs.cpu_millis / 1000 + ACCELERATOR_CORES * needs.accelerators
        return elapsed_s * cores * len(self.placed_tasks)
