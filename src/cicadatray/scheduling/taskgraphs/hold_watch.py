"""Detects work that waits although there is room for it."""

from collections.abc import Callable, Mapping

from cicadatray.scheduling.taskgraphs.hold_memory import HoldKey, HoldMemory
from cicadatray.scheduling.taskgraphs.rules.round_view import RoundView
from cicadatray.scheduling.taskgraphs.running_work import core_equivalents
from cicadatray.scheduling.taskgraphs.task_fit import fit_tasks, free_now
from cicadatray.scheduling.taskgraphs.waiting_work import WaitingWork
from cicadatray.scheduling.taskgraphs.worker_capacity import WorkerCapacity

# With more of a pool in use, capacity is scarce, and what keeps work waiting there is a choice of
# the rules between jobs. The platform's operators count a pool as free below a half.
MAX_USED_SHARE = 0.6
# There is room for work if it fits this many times.
ROOM_FACTOR = 2

LimitsOf = Callable[[WaitingWork, list[WorkerCapacity]], Mapping[str, int] | None]


class HoldWatch:
    """Finds the waiting work of one round that only rules keep from starting.

    Racks, reservations and the demand for an idle worker are preferences: they are worth a wait
    while capacity is scarce or for a moment, but a job must not rest because of them while its pool
    has room for it. Workers on which work fails, which run a task that may crash them, or which are
    kept for work within a guarantee do not count as room.
    """

    __slots__ = ("limits_of", "memory", "resting", "used_shares", "view")

    def __init__(self, view: RoundView, limits_of: LimitsOf) -> None:
        self.view = view
        self.limits_of = limits_of
        self.memory = view.memory.get(HoldMemory)
        self.memory.begin_round(view.now_s)
        self.used_shares: dict[str, float] = {}
        self.resting: dict[str, bool] = {}

    def held_s(self, work: WaitingWork, usable: list[WorkerCapacity]) -> float | None:
        """Returns for how long work that was not placed has been held, None if it is not.

        `usable` are the workers of its pool that have the required label.
        """
        if not work.step.is_long_running and not self._is_at_rest(work):
            return None
        if not self._has_room(work, self.room_of(usable)):
            return None
        return self.memory.extend(_key_of(work))

    def record_start(self, work: WaitingWork) -> None:
        """Records that the job of the work does not rest any more."""
        self.resting[work.graph.graph.graph_id] = False

    def room_of(self, usable: list[WorkerCapacity]) -> list[WorkerCapacity]:
        """Returns the usable workers whose free capacity counts as room."""
        return [worker for worker in usable if not (worker.is_on_trial or worker.is_guaranteed)]

    def used_share(self, pool: str) -> float:
        """Returns the share of a pool in use at the start of the round, in core equivalents."""
        if pool not in self.used_shares:
            workers = [worker for worker in self.view.workers if worker.pool == pool]
            total = sum(core_equivalents(worker.capacity) for worker in workers)
            free = sum(core_equivalents(worker.free) for worker in workers)
            self.used_shares[pool] = 1 - free / total if total else 1.0
        return self.used_shares[pool]

    def _is_at_rest(self, work: WaitingWork) -> bool:
        """Returns whether no run of the job may exist while its pool is not scarce."""
        if self.used_share(work.graph.graph.policy.pool) > MAX_USED_SHARE:
            return False
        graph_id = work.graph.graph.graph_id
        if graph_id not in self.resting:
            self.resting[graph_id] = not any(t.worker_id for t in work.graph.tasks.values())
        return self.resting[graph_id]

    def _has_room(self, work: WaitingWork, workers: list[WorkerCapacity]) -> bool:
        demand, count = work.step.demand, len(work.indexes)
        if fit_tasks(workers, demand, count * ROOM_FACTOR, free_now) is None:
            return False
        limits = self.limits_of(work, workers)
        return fit_tasks(workers, demand, count, free_now, limits) is not None


def _key_of(work: WaitingWork) -> HoldKey:
    """Returns the step of the work; each suspect task counts by itself."""
    index = work.indexes[0] if work.is_suspect else 0
    return (work.graph.graph.graph_id, work.occurrence, work.step_number, index)
