"""Chooses the work that must leave draining workers and evacuated data centres."""

from collections.abc import Iterable, Mapping

import msgspec

from cicadatray.internal.control.graphs.graph_session import GraphSession
from cicadatray.scheduling.taskgraphs.running_work import RunningWork


class LeavingWork(msgspec.Struct, frozen=True):
    """Running work that needs more time than the `stays_s` for which its worker can run it."""

    work: RunningWork
    stays_s: float


def staying_times(session: GraphSession) -> dict[str, float]:
    """Returns for how long, in seconds, each worker that must become empty can run its tasks.

    The time of a worker in an evacuated data centre becomes negative, so that work leaves whose
    estimate has passed.
    """
    record = session.leader.state.evacuations
    now_s = session.wall_s()
    times: dict[str, float] = {}
    for worker_id, worker in session.workers.items():
        if worker.is_lost:
            continue
        if worker.offer.is_draining:
            times[worker_id] = worker.offer.remaining_s
        evacuation = record.active.get(worker.offer.data_centre)
        if evacuation is not None:
            left_s = evacuation.ordered_s + session.evacuation_limits.drain_s - now_s
            times[worker_id] = min(left_s, times.get(worker_id, left_s))
    return times


def find_leaving(
    running: Iterable[RunningWork], staying_s: Mapping[str, float]
) -> list[LeavingWork]:
    """Returns the work that will not end on its workers in time.

    `staying_s` holds the time for each worker that must become empty. A gang leaves as a whole.
    """
    leaving = []
    for work in running:
        times = [staying_s[worker_id] for worker_id, _ in work.occupied if worker_id in staying_s]
        if times and work.remaining_s() > min(times):
            leaving.append(LeavingWork(work, min(times)))
    return leaving
