"""Running work in the order of its expected ends, by worker."""

from collections.abc import Iterable, Sequence

from cicadatray.scheduling.taskgraphs.running_work import RunningWork
from cicadatray.scheduling.taskgraphs.worker_capacity import WorkerCapacity


class RunsByEnd:
    """Returns the running work of a few workers without a look at that of all others.

    `by_worker` holds the work of each worker with its place in the order of all, but for tasks
    that last, since no end of them is expected.
    """

    __slots__ = ("by_worker",)

    def __init__(self, running: Iterable[RunningWork]) -> None:
        self.by_worker: dict[str, list[tuple[int, RunningWork]]] = {}
        ending = [work for work in running if not work.is_long_running]
        for place, work in enumerate(sorted(ending, key=RunningWork.remaining_s)):
            for worker_id, _ in work.occupied:
                self.by_worker.setdefault(worker_id, []).append((place, work))

    def on(self, workers: Sequence[WorkerCapacity]) -> list[RunningWork]:
        """Returns the work on these workers, the first to end first."""
        works = {
            place: work
            for worker in workers
            for place, work in self.by_worker.get(worker.worker_id, ())
        }
        return [works[place] for place in sorted(works)]
