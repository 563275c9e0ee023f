"""Detects work that waits although there is room for it."""

from collections.abc import Callable, Iterable

from cicadatray.scheduling.taskgraphs.fit_search import FitSearch
from cicadatray.scheduling.taskgraphs.hold_memory import HoldKey, HoldMemory
from cicadatray.scheduling.taskgraphs.rules.round_view import RoundView
from cicadatray.scheduling.taskgraphs.running_work import core_equivalents
from cicadatray.scheduling.taskgraphs.task_fit import (
    by_run_count,
    fit_tasks,
    free_now,
    has_room,
    unreserved_first,
)
from cicadatray.scheduling.taskgraphs.trial_share import may_begin_trials
from cicadatray.scheduling.taskgraphs.wait_reason import WaitReason
from cicadatray.scheduling.taskgraphs.waiting_work import WaitingWork
from cicadatray.scheduling.taskgraphs.worker_capacity import WorkerCapacity

# With more of a pool in use, capacity is scarce, and what keeps work waiting there is a choice of
# the rules between jobs. The platform's operators count a pool as free below a half.
MAX_USED_SHARE = 0.6
# There is room for work if it fits this many times.
ROOM_FACTOR = 2
# After this time, in seconds, held work is started wherever it fits. The platform's operators allow
# 3 s, of which an order to start takes a part.
HOLD_LIMIT_S = 1.5
# Suspect work waits longer for a worker that is expected to become idle: beside other runs it may
# cost these their work.
SUSPECT_HOLD_LIMIT_S = 8.0
# After its room was taken so often, reserved work keeps it, so that it gets its turn too.
MAX_BYPASSES = 2


class HoldWatch:
    """Finds the waiting work of one round that only rules keep from starting.

    Racks, reservations and the demand for an idle worker are preferences: they are worth a wait
    while capacity is scarce, and for `HOLD_LIMIT_S` otherwise. Three kinds of workers are no room:
    those that run a task that may crash them, those kept for work within a guarantee, and those
    kept for work whose room was taken often. Those on which work fails are room only for work that
    lasts.
    """

    __slots__ = ("memory", "resting", "search", "used_shares", "view")

    def __init__(self, view: RoundView, search: FitSearch) -> None:
        self.view = view
        self.search = search
        self.memory = view.memory.get(HoldMemory)
        self.memory.begin_round(view.now_s)
        self.used_shares: dict[str, float] = {}
        self.resting: dict[str, bool] = {}

    def held_s(self, work: WaitingWork, usable: list[WorkerCapacity]) -> float | None:
        """Returns for how long work that was not placed has been held, None if it is not.

        `usable` are the workers of its pool that have the required label.
        """
        self.record_attempt(work)
        if not work.step.is_long_running and not self._is_at_rest(work):
            return None
        if not self._has_room(work, self._room_of(usable)):
            return None
        return self.memory.extend(_key_of(work))

    def is_scarce(self, work: WaitingWork) -> bool:
        """Returns whether no work is held because too much of its pool is in use."""
        is_scarce = self.used_share(work.graph.graph.policy.pool) > MAX_USED_SHARE
        return is_scarce and not work.step.is_long_running

    def record_attempt(self, work: WaitingWork) -> None:
        """Records that the round has tried the work."""
        self.memory.tried.add(_key_of(work))

    def observe(self, waiting: Iterable[WaitingWork]) -> None:
        """Is called with all waiting work before the round places any."""
        self.memory.keep_bypasses(_key_of(work) for work in waiting)

    def release(
        self,
        work: WaitingWork,
        usable: list[WorkerCapacity],
        groups: list[list[WorkerCapacity]],
        held_s: float,
    ) -> list[WorkerCapacity] | None:
        """Returns the workers on which held work must start now, one for each task, or None.

        Reserved room is used last. Suspect work goes beside as few other runs as possible, and only
        while few enough workers run such work.
        """
        if held_s < self._limit_s(work, groups):
            return None
        room = self._room_of(usable)
        order = by_run_count if work.is_suspect else unreserved_first
        limits = self.search.limits(work, room)
        chosen = fit_tasks(room, work.step.demand, len(work.indexes), free_now, limits, order)
        if chosen is None:
            return None
        if work.is_suspect and not may_begin_trials(self.view.workers, work, chosen):
            return None
        owners = {_key_of(w.reserved_for) for w in chosen if w.reserved_for is not None}
        self.memory.bypasses.update(owners)
        return chosen

    def reason_of(self, work: WaitingWork, diagnose: Callable[[], WaitReason]) -> WaitReason | None:
        """Returns what holds the work, None if that is not known yet."""
        return self.memory.reason_of(_key_of(work), diagnose)

    def record_start(self, work: WaitingWork) -> None:
        """Records that the job of the work does not rest any more."""
        self.record_attempt(work)
        self.resting[work.graph.graph.graph_id] = False

    def used_share(self, pool: str) -> float:
        """Returns the share of a pool in use at the start of the round, in core equivalents."""
        if pool not in self.used_shares:
            workers = [worker for worker in self.view.workers if worker.pool == pool]
            total = sum(core_equivalents(worker.capacity) for worker in workers)
            free = sum(core_equivalents(worker.free) for worker in workers)
            self.used_shares[pool] = 1 - free / total if total else 1.0
        return self.used_shares[pool]

    def _limit_s(self, work: WaitingWork, groups: list[list[WorkerCapacity]]) -> float:
        """Returns for how long the work may be held, in seconds."""
        if not work.is_suspect:
            return HOLD_LIMIT_S
        idle = self.search.earliest_in_any(work, groups, must_be_idle=True)
        return HOLD_LIMIT_S if idle is None else SUSPECT_HOLD_LIMIT_S

    def _room_of(self, usable: list[WorkerCapacity]) -> list[WorkerCapacity]:
        """Returns the usable workers whose free capacity counts as room."""
        return [worker for worker in usable if not self._is_closed(worker)]

    def _is_closed(self, worker: WorkerCapacity) -> bool:
        owner = worker.reserved_for
        if worker.is_on_trial or owner is None:
            return worker.is_on_trial
        return owner.is_guaranteed or self.memory.bypasses[_key_of(owner)] >= MAX_BYPASSES

    def _is_at_rest(self, work: WaitingWork) -> bool:
        """Returns whether no run of the job may exist while its pool is not scarce."""
        if self.used_share(work.graph.graph.policy.pool) > MAX_USED_SHARE:
            return False
        graph_id = work.graph.graph.graph_id
        if graph_id not in self.resting:
            self.resting[graph_id] = not work.graph.has_runs
        return self.resting[graph_id]

    def _has_room(self, work: WaitingWork, workers: list[WorkerCapacity]) -> bool:
        demand, count = work.step.demand, len(work.indexes)
        if not has_room(workers, demand, count * ROOM_FACTOR):
            return False
        limits = self.search.limits(work, workers)
        return has_room(workers, demand, count, limits)


def _key_of(work: WaitingWork) -> HoldKey:
    """Returns the step of the work; each suspect task counts by itself."""
    index = work.indexes[0] if work.is_suspect else 0
    return (work.graph.graph.graph_id, work.occurrence, work.step_number, index)
