"""The capacity that waiting work will find, as a fluid of accelerator-seconds."""

from collections.abc import Iterable, Sequence

from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.running_work import RunningWork
from cicadatray.scheduling.taskgraphs.waiting_work import WaitingWork
from cicadatray.scheduling.taskgraphs.worker_capacity import WorkerCapacity


class ProjectedSchedule:
    """The accelerators of one pool that are free now or when running work ends.

    `ends` holds, in the order of time, when capacity becomes free in seconds from now, how many
    accelerators are free from then on, and the accelerator-seconds that are available until then.
    Gangs and racks do not count, so that the schedule is optimistic.
    """

    __slots__ = ("ends",)

    def __init__(self, workers: Sequence[WorkerCapacity], running: Iterable[RunningWork]) -> None:
        names = {worker.worker_id for worker in workers}
        rate = float(sum(max(0, worker.free.accelerators) for worker in workers))
        freed: list[tuple[float, int]] = []
        for run in running:
            accelerators = sum(d.accelerators for name, d in run.occupied if name in names)
            if accelerators:
                freed.append((run.remaining_s(), accelerators))
        freed.sort()
        self.ends: list[tuple[float, float, float]] = [(0.0, rate, 0.0)]
        at_s = area = 0.0
        for end_s, accelerators in freed:
            area += rate * (end_s - at_s)
            rate += accelerators
            at_s = end_s
            self.ends.append((at_s, rate, area))

    def end_s(self, demand: float) -> float:
        """Returns in how many seconds this many accelerator-seconds are available."""
        low, high = 0, len(self.ends)
        while high - low > 1:
            middle = (low + high) // 2
            if self.ends[middle][2] <= demand:
                low = middle
            else:
                high = middle
        at_s, rate, area = self.ends[low]
        if rate > 0:
            return at_s + (demand - area) / rate
        return self.ends[low + 1][0] if low + 1 < len(self.ends) else float("inf")


def accelerator_seconds(work: WaitingWork) -> float:
    """Returns the work of the tasks of a gang, or of one task, by its estimate."""
    needs: Resources = work.step.needs
    return len(work.indexes) * needs.accelerators * work.step.estimate_s
