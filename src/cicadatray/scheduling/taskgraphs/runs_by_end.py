"""Running work in the order of its expected ends, by worker."""

from collections.abc import Generator, Sequence

from cicadatray.scheduling.taskgraphs.running_work import RunningWork
from cicadatray.scheduling.taskgraphs.worker_capacity import WorkerCapacity

# The caller may pause after so many works.
WORKS_BETWEEN_PAUSES = 512


class RunsByEnd:
    """Returns the running work of a few workers without a look at that of all others.

    `by_worker` holds the work of each worker with its place in the order of all, but for tasks
    that last, since no end of them is expected. `displaced` work is left out.
    """

    __slots__ = ("by_worker", "displaced")

    def __init__(self, running: Sequence[RunningWork] = ()) -> None:
        self.by_worker: dict[str, list[tuple[int, RunningWork]]] = {}
        self.displaced: set[RunningWork] = set()
        for _ in self.add(running):
            pass

    def add(self, running: Sequence[RunningWork]) -> Generator[None, None, None]:
        """Adds all running work at once; yields wherever the caller may pause."""
        ending: list[tuple[float, RunningWork]] = []
        for place, work in enumerate(running):
            if place % WORKS_BETWEEN_PAUSES == WORKS_BETWEEN_PAUSES - 1:
                yield
            if not work.is_long_running:
                ending.append((work.remaining_s(), work))
        ending.sort(key=lambda pair: pair[0])
        for place, (_, work) in enumerate(ending):
            if place % WORKS_BETWEEN_PAUSES == 0:
                yield
            for worker_id, _ in work.occupied:
                self.by_worker.setdefault(worker_id, []).append((place, work))

    def on(self, workers: Sequence[WorkerCapacity]) -> list[RunningWork]:
        """Returns the work on these workers, the first to end first."""
        works = {
            place: work
            for worker in workers
            for place, work in self.by_worker.get(worker.worker_id, ())
            if work not in self.displaced
        }
        return [works[place] for place in sorted(works)]
