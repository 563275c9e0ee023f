"""One placement round: assigns waiting work to workers and chooses work to displace."""

from collections.abc import Callable, Generator, Hashable, Iterator, Sequence

from cicadatray.scheduling.taskgraphs.assignment import Assignment
from cicadatray.scheduling.taskgraphs.fit_search import FitSearch
from cicadatray.scheduling.taskgraphs.held_work import HeldWork
from cicadatray.scheduling.taskgraphs.hold_watch import HoldWatch
from cicadatray.scheduling.taskgraphs.job_value import URGENT_PRIORITY
from cicadatray.scheduling.taskgraphs.placement_plan import PlacementPlan
from cicadatray.scheduling.taskgraphs.placement_wait import PlacementWait
from cicadatray.scheduling.taskgraphs.round_reservations import RoundReservations
from cicadatray.scheduling.taskgraphs.rules.round_view import RoundView
from cicadatray.scheduling.taskgraphs.rules.rule_memory import RuleMemory
from cicadatray.scheduling.taskgraphs.rules.scheduling_rules import DEFAULT_RULES, SchedulingRules
from cicadatray.scheduling.taskgraphs.running_work import RunningWork
from cicadatray.scheduling.taskgraphs.start_limits import StartLimits
from cicadatray.scheduling.taskgraphs.task_fit import free_now
from cicadatray.scheduling.taskgraphs.task_id import TaskRun
from cicadatray.scheduling.taskgraphs.trial_share import may_begin_trials
from cicadatray.scheduling.taskgraphs.tried_work import TriedWork
from cicadatray.scheduling.taskgraphs.wait_diagnosis import WaitDiagnosis
from cicadatray.scheduling.taskgraphs.wait_reason import WaitReason
from cicadatray.scheduling.taskgraphs.waiting_work import WaitingWork
from cicadatray.scheduling.taskgraphs.warm_candidates import warm_first
from cicadatray.scheduling.taskgraphs.worker_capacity import WorkerCapacity

# A round ends after so many starts, which are stored in one command.
MAX_STARTS = 250
# A round ends after so many attempts in vain, each of which searches all workers.
MAX_ATTEMPTS = 400
# After so many of them, a round passes over work that earlier rounds have tried in vain, until all
# waiting work had its turn.
HEAD_ATTEMPTS = 100
# The caller may pause after so many works that were not tried.
SKIPS_BETWEEN_PAUSES = 64
DEFAULT_LIMITS = StartLimits()


class PlacementRound:
    """Plans one round deterministically: the same input gives the same plan.

    `rules` decide on the order of work, on the workers that may take it and on displacement;
    `memory` is what they keep between rounds. `now_s` is in seconds since 1970. Without
    `may_displace` no running work is stopped, because not all workers are known yet.
    `attempts` counts the work that was tried in vain, and `assigned` the work that was placed.
    `blocked` has the steps and `unplaceable` the shapes of work that does not fit any more; only a
    displacement makes room for them. A shape has the reason for which its work waits, if it was
    diagnosed, and the number of changes then.
    """

    __slots__ = (
        "assigned",
        "attempts",
        "blocked",
        "candidates",
        "holds",
        "now_s",
        "plan",
        "ranking",
        "reservations",
        "search",
        "skips",
        "tried",
        "unplaceable",
        "victims",
        "view",
        "workers",
    )

    def __init__(
        self,
        workers: Sequence[WorkerCapacity],
        running: Sequence[RunningWork],
        now_s: float,
        start_limits: StartLimits = DEFAULT_LIMITS,
        may_displace: bool = True,
        rules: SchedulingRules = DEFAULT_RULES,
        memory: RuleMemory | None = None,
    ) -> None:
        view = RoundView(workers, running, now_s, start_limits, memory or RuleMemory())
        self.view = view
        self.workers = view.workers
        self.now_s = now_s
        self.attempts = 0
        self.assigned = 0
        self.skips = 0
        self.blocked: set[tuple[str, int, int]] = set()
        self.unplaceable: dict[Hashable, tuple[WaitReason | None, int]] = {}
        self.tried = view.memory.get(TriedWork)
        self.plan: PlacementPlan = view.plan
        self.ranking = rules.find_ranking()(view)
        self.candidates = rules.find_candidates()(view)
        self.search = FitSearch(view, self.candidates)
        self.holds = HoldWatch(view, self.search)
        self.victims = rules.find_victims()(view)
        self.reservations = RoundReservations(
            view, self.search, self.candidates, self.victims, may_displace
        )

    def run(self, waiting: Sequence[WaitingWork]) -> PlacementPlan:
        """Tries to place all waiting work in the order of its ranking and returns the plan."""
        for _ in self.steps(waiting):
            pass
        return self.plan

    def steps(self, waiting: Sequence[WaitingWork]) -> Generator[None, None, None]:
        """Places the waiting work as `run` does; yields wherever the caller may pause or stop.

        The plan is valid at each of these points. A round that ends early, by itself or because its
        caller stops it, leaves `is_complete` unset; the next round tries what was left.
        """
        self.victims.observe(waiting)
        self.holds.observe(waiting)
        try:
            for work in self.ranking.iterate(waiting):
                if work is None:
                    yield
                    continue
                yield from self._try_step(work)
                if self._is_exhausted():
                    return
            self.tried.keys.clear()
            self.plan.is_complete = True
        finally:
            if not self.plan.is_complete:
                self.holds.memory.keep_untried()

    @property
    def changes(self) -> int:
        """The number of assignments and reservations so far."""
        return self.assigned + self.reservations.count

    def _is_exhausted(self) -> bool:
        """Returns whether the round has done as much as one round may do."""
        return self.attempts >= MAX_ATTEMPTS or len(self.plan.assignments) >= MAX_STARTS

    def _try_step(self, work: WaitingWork) -> Iterator[None]:
        """Tries the work and its followers, until one of them does not fit.

        If one task of a step does not fit, the other tasks of that step do not fit either. An
        urgent one is tried nevertheless if the last one has displaced work or reserved capacity. A
        suspect task needs other workers than the rest of its step.
        """
        if work.step_key in self.blocked and not work.is_suspect:
            return
        for each in work.each():
            changes, attempts = self.changes, self.attempts
            is_placed = yield from self._try_to_place(each)
            is_unchanged = self.changes == changes
            may_fit = is_placed or (work.priority == URGENT_PRIORITY and not is_unchanged)
            if not may_fit and not work.is_suspect:
                self.blocked.add(work.step_key)
            if not is_unchanged or self.attempts != attempts:
                yield
            else:
                self.skips += 1
                if self.skips % SKIPS_BETWEEN_PAUSES == 0:
                    yield
            if work.step_key in self.blocked or self._is_exhausted():
                return

    def _try_to_place(self, work: WaitingWork) -> Generator[None, None, bool]:
        """Places the work; returns False if it must wait."""
        shape = None if work.is_suspect else self.candidates.shape(work)
        if shape in self.unplaceable and self._must_wait(work):
            self.holds.record_attempt(work)
            self._record_wait(work, lambda: self._reason_of(work, shape))
            return False
        key = (*work.step_key, work.indexes[0])
        if self.attempts >= HEAD_ATTEMPTS and key in self.tried.keys:
            return False
        if (yield from self._attempt(work, shape)):
            return True
        self.attempts += 1
        self.tried.keys.add(key)
        return False

    def _must_wait(self, work: WaitingWork) -> bool:
        """Returns whether work that fits nowhere can neither displace other work nor be held."""
        if work.priority == URGENT_PRIORITY and self.reservations.may_displace_for(work):
            return False
        return self.holds.is_scarce(work)

    def _reason_of(self, work: WaitingWork, shape: Hashable) -> WaitReason:
        """Returns why work of an unplaceable shape waits."""
        reason, changes = self.unplaceable[shape]
        if reason is None or changes != self.changes:
            usable = self._usable_workers(work)
            reason = self._diagnose(work, warm_first(self.candidates, work, usable))
            self.unplaceable[shape] = (reason, self.changes)
        return reason

    def _attempt(self, work: WaitingWork, shape: Hashable | None) -> Generator[None, None, bool]:
        """Searches all workers for the work; returns False if it must wait."""
        changes = self.changes
        usable = self._usable_workers(work)
        groups = warm_first(self.candidates, work, usable)
        place = self._isolate if work.is_suspect else self._place
        if place(work, groups):
            return True
        # Work that lasts may fail any number of times, so that suspect workers are worth a try.
        room = self._labelled_workers(work) if work.step.is_long_running else usable
        held_s = self.holds.held_s(work, room)
        if held_s is not None and self._record_hold(work, room, groups, held_s):
            return True
        reason = self._record_wait(work, lambda: self._diagnose(work, groups))
        if work.is_suspect:
            yield from self.reservations.reserve_for_trial(work, groups)
        else:
            displacements = len(self.plan.displacements)
            yield from self.reservations.reserve_or_displace(work, groups)
            if len(self.plan.displacements) > displacements:
                self.unplaceable.clear()
        if shape is not None and self.changes == changes:
            self.unplaceable[shape] = (reason, changes)
        return False

    def _place(self, work: WaitingWork, groups: list[list[WorkerCapacity]]) -> bool:
        for group in groups:
            unreserved = [worker for worker in group if not worker.is_reserved]
            limits = self.search.limits(work, unreserved)
            chosen = self.search.fit(work, unreserved, free_now, limits)
            if chosen is not None and self.candidates.may_use(work, chosen):
                self._assign(work, chosen)
                return True
        return False

    def _isolate(self, work: WaitingWork, groups: list[list[WorkerCapacity]]) -> bool:
        """Places suspect work on idle workers, which accept nothing else until it is harmless."""
        for group in groups:
            idle = [w for w in group if not w.is_reserved and not w.run_count]
            limits = self.search.limits(work, idle)
            chosen = self.search.fit(work, idle, free_now, limits)
            if chosen is not None and may_begin_trials(self.workers, work, chosen):
                self._assign(work, chosen)
                return True
        return False

    def _record_hold(
        self,
        work: WaitingWork,
        usable: list[WorkerCapacity],
        groups: list[list[WorkerCapacity]],
        held_s: float,
    ) -> bool:
        """Records work that is held back; places it and returns True if it was held too long."""
        chosen = self.holds.release(work, usable, groups, held_s)
        reason = self.holds.reason_of(work, lambda: self._diagnose(work, groups))
        if reason is not None:
            used_share = self.holds.used_share(work.graph.graph.policy.pool)
            is_started = chosen is not None
            self.plan.held.append(HeldWork(work, reason, held_s, used_share, is_started))
        if chosen is None:
            return False
        self._assign(work, chosen)
        return True

    def _record_wait(
        self, work: WaitingWork, diagnose: Callable[[], WaitReason]
    ) -> WaitReason | None:
        """Records the wait reason of the oldest work of each queue, and returns it.

        Only the oldest work is diagnosed, because each diagnosis calls `fit_tasks` several times;
        returns None for any other work.
        """
        queue = work.graph.graph.policy.queue
        oldest = self.plan.waits.get(queue)
        if oldest is not None and work.ready_s >= oldest.work.ready_s:
            return None
        reason = diagnose()
        self.plan.waits[queue] = PlacementWait(work, reason)
        return reason

    def _diagnose(self, work: WaitingWork, groups: list[list[WorkerCapacity]]) -> WaitReason:
        return WaitDiagnosis(work, self.workers, groups, self.search.limits).explain()

    def _usable_workers(self, work: WaitingWork) -> list[WorkerCapacity]:
        """Returns the workers of the pool with the required label, suspect ones only if all are."""
        labelled = self._labelled_workers(work)
        not_suspect = [worker for worker in labelled if not worker.is_suspect]
        return not_suspect or labelled

    def _labelled_workers(self, work: WaitingWork) -> list[WorkerCapacity]:
        pool = work.graph.graph.policy.pool
        label = work.step.required_label
        return [w for w in self.workers if w.pool == pool and (not label or label in w.labels)]

    def _assign(self, work: WaitingWork, chosen: list[WorkerCapacity]) -> None:
        self.holds.record_start(work)
        self.assigned += 1
        self.plan.placed.append(work)
        for index, worker in zip(work.indexes, chosen, strict=True):
            worker.occupy(work.step.demand)
            self.search.record_assignment(work, worker.worker_id)
            run = TaskRun(work.task(index), work.run)
            self.plan.assignments.append(Assignment(run, worker.worker_id))
            if work.is_suspect:
                worker.begin_trial()
