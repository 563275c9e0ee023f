"""A gang, or a task, that runs on emulated workers."""

from cicadatray.scheduling.taskgraphs.running_work import ACCELERATOR_CORES
from cicadatray.scheduling.taskgraphs.task_id import TaskRun
from cicadatray.scheduling.taskgraphs.waiting_work import WaitingWork


class EmulatedRun:
    """Models a gang, or a task, from its start to its end.

    `saved_s` is the progress that earlier runs saved. `stop_end_s` is the time at which a
    requested stop is complete, None without a request.
    """

    __slots__ = (
        "duration_s",
        "fails",
        "placed_tasks",
        "saved_s",
        "started_s",
        "stop_end_s",
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
        self.stop_end_s: float | None = None
        self.placed_tasks: list[tuple[TaskRun, str]] = []

    def end_s(self) -> float:
        """Returns the time at which the run ends, by itself or because it is stopped."""
        own_end_s = self._own_end_s()
        return own_end_s if self.stop_end_s is None else min(own_end_s, self.stop_end_s)

    def is_stopped(self) -> bool:
        """Returns whether a stop ends the run before it ends by itself."""
        return self.stop_end_s is not None and self.stop_end_s < self._own_end_s()

    def _own_end_s(self) -> float:
        remaining_s = self.duration_s - self.saved_s
        return self.started_s + (remaining_s / 2 if self.fails else remaining_s)

    def percent_done(self, now_s: float) -> int:
        """Returns the completed part of the work in percent, at most 99."""
        return min(99, int(100 * (self.saved_s + now_s - self.started_s) / self.duration_s))

    def core_seconds(self, elapsed_s: float) -> float:
        """Returns the core-seconds that all its tasks use in this time."""
        needs = self.work.step.needs
        cores = needs.cpu_millis / 1000 + ACCELERATOR_CORES * needs.accelerators
        return elapsed_s * cores * len(self.placed_tasks)
