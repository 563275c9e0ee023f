"""Candidates by the expected end on workers of different speeds."""

import math
from collections.abc import Callable, Sequence
from typing import ClassVar

from cicadatray.scheduling.taskgraphs.earliest_fit import find_earliest_fit
from cicadatray.scheduling.taskgraphs.estimate_corrections import EstimateCorrections
from cicadatray.scheduling.taskgraphs.job_value import MAX_LATENESS_FACTOR, URGENT_PRIORITY
from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.rules.candidate_rule import candidate_rules
from cicadatray.scheduling.taskgraphs.rules.packed import PackedCandidates
from cicadatray.scheduling.taskgraphs.rules.round_view import RoundView
from cicadatray.scheduling.taskgraphs.running_work import RunningWork
from cicadatray.scheduling.taskgraphs.speed_spread import SpeedSpread
from cicadatray.scheduling.taskgraphs.task_fit import FillOrder, least_available_first
from cicadatray.scheduling.taskgraphs.waiting_work import WaitingWork
from cicadatray.scheduling.taskgraphs.worker_capacity import WorkerCapacity

# A worker below this part of the speed of its pool counts as standing still.
STILL_SPEED = 0.25
# Workers below it are slow, and work with enough slack fills them first.
SLOW_SPEED = 0.8
# Urgent work accepts any worker of this speed, even if a still faster one would be on time.
FAST_SPEED = 0.9
# One observed run leaves an uncertainty of 0.2, none leaves one of 0.3.
UNKNOWN_UNCERTAINTY = 0.25
# Work with slack goes to a slow worker if it is on time there with this chance.
SLACK_CHANCE = 0.7

Groups = list[list[WorkerCapacity]]
WorkerTest = Callable[[WorkerCapacity], bool]


@candidate_rules.register("by_speed")
class BySpeedCandidates(PackedCandidates):
    """Gives fast workers to urgent work and slow ones to work with slack.

    Pools in which the speeds of workers do not differ are filled as `packed` does. A gang runs at
    the speed of its slowest member, so that groups of workers of one class are tried first.
    `earliest_s` caches, by step, the expected time until the step fits on fast enough workers.
    """

    __slots__ = ("corrections", "earliest_s", "uneven_pools")
    uses_speeds: ClassVar[bool] = True

    def __init__(self, view: RoundView) -> None:
        super().__init__(view)
        self.corrections = view.memory.get(EstimateCorrections)
        self.earliest_s: dict[tuple[str, int, int], float] = {}
        spread = view.memory.get(SpeedSpread)
        speeds: dict[str, list[tuple[float, float]]] = {}
        for worker in view.workers:
            speeds.setdefault(worker.pool, []).append((worker.speed, worker.speed_uncertainty))
        self.uneven_pools = {pool for pool, known in speeds.items() if spread.update(pool, known)}

    def groups(self, work: WaitingWork, usable: list[WorkerCapacity]) -> Groups:
        """Returns the groups of `packed`, divided by speed in uneven pools."""
        groups = super().groups(work, usable)
        if not self._is_uneven(work):
            return groups
        required = self._required_speed(work)
        if work.priority == URGENT_PRIORITY:
            divided = _intersect(groups, lambda w: _is_known(w) and w.speed >= required)
        else:
            divided = self._groups_with_slack(work, groups, usable, required)
        divided += _intersect(groups, lambda w: w.speed >= STILL_SPEED)
        return divided + groups

    def fill_order(self, work: WaitingWork) -> FillOrder | None:
        """Returns the order by class of speed: slow workers last for urgent work, else first."""
        if not self._is_uneven(work):
            return None
        is_urgent = work.priority == URGENT_PRIORITY

        def order(worker: WorkerCapacity, available: Resources) -> tuple[float, ...]:
            speed_class = _speed_class(worker)
            if is_urgent:
                speed_class = -speed_class
            elif speed_class == 0:
                speed_class = 3
            return (speed_class, *least_available_first(worker, available))

        return order

    def may_use(self, work: WaitingWork, chosen: Sequence[WorkerCapacity]) -> bool:
        """Returns False while faster workers are expected early enough to be worth the wait."""
        if not self._is_uneven(work) or self._must_start(work):
            return True
        speed = min(worker.speed for worker in chosen)
        if speed < STILL_SPEED:
            return self.view.now_s >= self._last_useful_start_s(work)
        is_urgent = work.priority == URGENT_PRIORITY
        if not is_urgent and not work.step.is_gang:
            return True
        if speed >= self._required_speed(work) and (not is_urgent or all(map(_is_known, chosen))):
            return True
        spare_s = self._left_s(work) - self._expected_s(work)
        if spare_s <= 0:
            return True
        if is_urgent and self._fits_when_empty(work, self._fast_enough(work)):
            # Capacity that becomes free or is freed by a displacement is tried first.
            return False
        return self._earliest_fast_s(work) > spare_s

    def groups_to_clear(self, work: WaitingWork, groups: Groups) -> Groups:
        """Returns the groups on whose workers the work would be on time, if it fits in any."""
        if not self._is_uneven(work) or self._left_s(work) <= self._expected_s(work):
            return groups
        required = self._required_speed(work)
        fast = [g for g in groups if g and all(_is_known(w) and w.speed >= required for w in g)]
        return [group for group in fast if self._fits_when_empty(work, group)] or groups

    def _groups_with_slack(
        self,
        work: WaitingWork,
        groups: Groups,
        usable: list[WorkerCapacity],
        required: float,
    ) -> Groups:
        """Returns slow workers that are fast enough first, then the other fast enough ones."""

        def is_slow_enough(worker: WorkerCapacity) -> bool:
            return _speed_class(worker) == 1 and worker.speed >= max(STILL_SPEED, required)

        slow = [usable] if not work.step.is_gang and not work.step.data_rack else groups
        return [
            *_intersect(slow, is_slow_enough),
            *_intersect(groups, lambda w: _speed_class(w) == 2 and w.speed >= required),
            *_intersect(groups, lambda w: w.speed >= max(STILL_SPEED, required)),
        ]

    def _is_uneven(self, work: WaitingWork) -> bool:
        return work.graph.graph.policy.pool in self.uneven_pools

    def _expected_s(self, work: WaitingWork) -> float:
        """Returns the time of the work on a typical worker, likely enough for its priority.

        The objective of urgent work grows with its true time, which the median leaves open.
        """
        queue = work.graph.graph.policy.queue
        estimate_s = work.step.estimate_s
        if work.priority == URGENT_PRIORITY:
            return self.corrections.expected_s(queue, estimate_s)
        return self.corrections.quantile_s(queue, estimate_s, SLACK_CHANCE)

    def _left_s(self, work: WaitingWork) -> float:
        """Returns the time until the work must end for its job to be on time."""
        estimate_s = work.step.estimate_s * (work.waves[work.step_number] if work.waves else 1.0)
        return work.latest_start_s() + estimate_s - self.view.now_s

    def _required_speed(self, work: WaitingWork) -> float:
        """Returns the lowest speed with which the work is on time if it starts now."""
        left_s = self._left_s(work)
        required = self._expected_s(work) / left_s if left_s > 0 else math.inf
        if work.priority == URGENT_PRIORITY:
            return min(max(required, SLOW_SPEED), FAST_SPEED)
        return required

    def _must_start(self, work: WaitingWork) -> bool:
        """Returns whether the guarantee of the work's account allows no further wait."""
        latest_s = self.view.start_limits.latest_displacement_s(work.graph.accepted_s)
        return work.is_guaranteed and self.view.now_s >= latest_s

    def _last_useful_start_s(self, work: WaitingWork) -> float:
        objective_s = work.graph.graph.objective_s(work.waves)
        return work.latest_start_s() + (MAX_LATENESS_FACTOR - 1) * objective_s

    def _fast_enough(self, work: WaitingWork) -> list[WorkerCapacity]:
        policy, label = work.graph.graph.policy, work.step.required_label
        required = self._required_speed(work)
        return [
            worker
            for worker in self.view.workers
            if worker.pool == policy.pool
            and (not label or label in worker.labels)
            and _is_known(worker)
            and worker.speed >= required
        ]

    def _earliest_fast_s(self, work: WaitingWork) -> float:
        """Returns the expected time until the work fits on fast enough workers."""
        key = (work.graph.graph.graph_id, work.occurrence, work.step_number)
        if key not in self.earliest_s:
            running = sorted(self.view.running, key=RunningWork.remaining_s)
            count = len(work.indexes)
            limits = {w.worker_id: work.step.max_per_worker or count for w in self.view.workers}
            demand = work.step.demand
            fit = find_earliest_fit(self._fast_enough(work), demand, count, running, limits)
            self.earliest_s[key] = fit.remaining_s if fit else math.inf
        return self.earliest_s[key]


def _is_known(worker: WorkerCapacity) -> bool:
    return worker.speed_uncertainty < UNKNOWN_UNCERTAINTY


def _speed_class(worker: WorkerCapacity) -> int:
    """Returns 0 for a worker that stands still, 1 for a slow or unknown one, 2 for others."""
    if worker.speed < STILL_SPEED:
        return 0
    return 1 if worker.speed < SLOW_SPEED or not _is_known(worker) else 2


def _intersect(groups: Groups, includes: WorkerTest) -> Groups:
    """Returns the part of each group that the test includes, without empty parts."""
    parts = ([worker for worker in group if includes(worker)] for group in groups)
    return [part for part in parts if part]
