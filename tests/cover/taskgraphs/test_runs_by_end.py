"""Running work by worker, in the order of its ends."""

from cicadatray.scheduling.taskgraphs.running_work import RunningWork
from cicadatray.scheduling.taskgraphs.runs_by_end import RunsByEnd
from cover.taskgraphs.placement_helpers import ONE, make_running, make_workers


class CountedList(list[tuple[int, RunningWork]]):
    """Counts the work that is looked at."""

    seen = 0

    def __iter__(self):  # type: ignore[no-untyped-def]
        CountedList.seen += len(self)
        return super().__iter__()


def test_only_the_work_of_the_group_is_looked_at() -> None:
    """Guards against a round whose cost grows with the racks times all runs.

    The order is that of the whole list; a gang on two workers of the group appears once.
    """
    workers = make_workers([12] * 50)
    running = [
        make_running(workers, [(worker.worker_id, ONE)], f"{worker.worker_id}.{n}", elapsed_s=n / 3)
        for worker in workers
        for n in range(7)
    ]
    running.append(make_running(workers, [("w0", ONE), ("w1", ONE)], "gang"))
    by_end = RunsByEnd(running)
    by_end.by_worker = {name: CountedList(works) for name, works in by_end.by_worker.items()}
    found = by_end.on(workers[:12])
    names = {worker.worker_id for worker in workers[:12]}
    expected = [
        work
        for work in sorted(running, key=RunningWork.remaining_s)
        if names & {worker_id for worker_id, _ in work.occupied}
    ]
    assert found == expected
    assert CountedList.seen == 12 * 7 + 2
