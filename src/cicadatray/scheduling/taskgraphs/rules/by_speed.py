"""Candidates by the expected end on workers of different speeds."""

import math
from collections.abc import Callable, Hashable, Sequence
from statistics import NormalDist
from typing import ClassVar

from cicadatray.scheduling.taskgraphs.earliest_fit import find_earliest_fit
from cicadatray.scheduling.taskgraphs.estimate_corrections import EstimateCorrections
from cicadatray.scheduling.taskgraphs.job_value import MAX_LATENESS_FACTOR, URGENT_PRIORITY
from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.rules.candidate_rule import candidate_rules
from cicadatray.scheduling.taskgraphs.rules.packed import PackedCandidates
from cicadatray.scheduling.taskgraphs.rules.probe_times import ProbeTimes
from cicadatray.scheduling.taskgraphs.rules.round_view import RoundView
from cicadatray.scheduling.taskgraphs.running_work import RunningWork
from cicadatray.scheduling.taskgraphs.speed_spread import UNKNOWN_UNCERTAINTY, SpeedSpread
from cicadatray.scheduling.taskgraphs.task_fit import FillOrder, least_available_first
from cicadatray.scheduling.taskgraphs.waiting_work import WaitingWork
from cicadatray.scheduling.taskgraphs.worker_capacity import WorkerCapacity

# A worker below this part of the speed of its pool counts as standing still.
STILL_SPEED = 0.25
# Workers below it are slow, and work with enough slack fills them first.
SLOW_SPEED = 0.8
# Workers above it, beyond their uncertainty, are fast. They are kept for urgent work.
FAST_SPEED = 1.25
# Urgent work prefers workers that are fast enough with this chance, which a gang needs of each of
# its members.
URGENT_CHANCES = (0.97, 0.9, 0.7)
# Urgent work that has just arrived waits only if one of its workers is fast enough with less than
# this chance. Waiting and displacing cost more than a small doubt: 0.6 for the whole gang lost 0.05
# of the worth where typical workers are fast enough.
START_CHANCE = 0.25
# An unknown worker gets another probe after this time: a run shows its pace within 3 s.
PROBE_INTERVAL_S = 4.0
# Work with slack goes to a slow worker if it is on time there with this chance.
SLACK_CHANCE = 0.7
STANDARD = NormalDist()

STILL, SLOW, TYPICAL, FAST = range(4)
Groups = list[list[WorkerCapacity]]
WorkerTest = Callable[[WorkerCapacity], bool]


@candidate_rules.register("by_speed")
class BySpeedCandidates(PackedCandidates):
    """Gives fast workers to urgent work and slow ones to work with slack.

    Pools in which the speeds of workers do not differ are filled as `packed` does. A gang runs at
    the speed of its slowest member, so that groups of workers of one class are tried first.
    `earliest_s` caches, by step, the expected time until the step fits on fast enough workers.
    """

    __slots__ = ("corrections", "earliest_s", "probes", "uneven_pools")
    uses_speeds: ClassVar[bool] = True

    def __init__(self, view: RoundView) -> None:
        super().__init__(view)
        self.corrections = view.memory.get(EstimateCorrections)
        self.earliest_s: dict[tuple[str, int, int], float] = {}
        self.probes = view.memory.get(ProbeTimes).started_s
        known_ids = {worker.worker_id for worker in view.workers if _is_known(worker)}
        for worker_id in [name for name in self.probes if name in known_ids]:
            del self.probes[worker_id]
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
            divided = _intersect(groups, lambda w: _speed_class(w) == FAST)
            for chance in URGENT_CHANCES:
                divided += _intersect(groups, _is_fast_test(required, chance))
        else:
            divided = self._groups_with_slack(work, groups, usable, required)
        divided += _intersect(groups, lambda w: w.speed >= STILL_SPEED)
        return divided + groups

    def shape(self, work: WaitingWork) -> Hashable | None:
        """Returns the shape of `packed`, None in uneven pools, where deadlines decide."""
        return None if self._is_uneven(work) else super().shape(work)

    def fill_order(self, work: WaitingWork) -> FillOrder | None:
        """Returns the order by class of speed.

        Work with slack fills slow workers first. Urgent work that does not fit on fast workers
        alone fills typical ones first, because a gang with one of them runs at its speed.
        """
        if not self._is_uneven(work):
            return None
        is_urgent = work.priority == URGENT_PRIORITY
        classes = (TYPICAL, FAST, SLOW, STILL) if is_urgent else (SLOW, TYPICAL, FAST, STILL)

        def order(worker: WorkerCapacity, available: Resources) -> tuple[float, ...]:
            place = classes.index(_speed_class(worker))
            return (place, *least_available_first(worker, available))

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
            for worker in chosen:
                if not _is_known(worker):
                    self.probes[worker.worker_id] = self.view.now_s
            return True
        required = self._required_speed(work)
        spare_s = self._left_s(work) - self._expected_s(work)
        if spare_s <= 0 or (speed >= required and not is_urgent):
            return True
        if not is_urgent:
            return self._earliest_fast_s(work) > spare_s
        # The longer the work has waited, the less a further wait may gain.
        waited_s = max(0.0, self.view.now_s - work.ready_s)
        least_chance = START_CHANCE * spare_s / (spare_s + waited_s)
        chance = min(_chance_of(worker, required) for worker in chosen)
        # Capacity that becomes free or is freed by a displacement is tried first.
        return chance >= least_chance or not self._fits_when_empty(work, self._fast_enough(work))

    def groups_to_clear(self, work: WaitingWork, groups: Groups) -> Groups:
        """Returns the groups on whose workers the work would be on time, if it fits in any."""
        if not self._is_uneven(work) or self._left_s(work) <= self._expected_s(work):
            return groups
        required = self._required_speed(work)
        is_fast = _is_fast_test(required, START_CHANCE)
        fast = [group for group in groups if group and all(map(is_fast, group))]
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
            return _speed_class(worker) == SLOW and worker.speed >= max(STILL_SPEED, required)

        is_single = not work.step.is_gang and not work.step.data_rack
        probes = [w for w in usable if is_single and not _is_known(w) and self._may_probe(w)]
        slow = [usable] if is_single else groups
        return [
            *([probes] if probes else []),
            *_intersect(slow, is_slow_enough),
            *_intersect(groups, lambda w: _speed_class(w) == TYPICAL and w.speed >= required),
            *_intersect(groups, lambda w: w.speed >= max(STILL_SPEED, required)),
        ]

    def _may_probe(self, worker: WorkerCapacity) -> bool:
        """Returns whether an unknown worker that is not idle has no probe of a moment ago.

        Probes on idle workers leave fewer whole workers to gangs, which then displace more.
        """
        started_s = self.probes.get(worker.worker_id, -math.inf)
        return worker.run_count > 0 and self.view.now_s >= started_s + PROBE_INTERVAL_S

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
            # Typical workers remain acceptable when the work is late already.
            return min(required, 1.0)
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
            and _chance_of(worker, required) >= START_CHANCE
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


def _chance_of(worker: WorkerCapacity, required: float) -> float:
    """Returns the chance that a worker has at least the required speed."""
    distance = math.log(worker.speed / required) if required > 0 else math.inf
    if worker.speed_uncertainty <= 0:
        return float(distance >= 0)
    return STANDARD.cdf(distance / worker.speed_uncertainty)


def _is_fast_test(required: float, chance: float) -> WorkerTest:
    """Returns a test for workers that have at least the required speed with this chance."""
    return lambda worker: _chance_of(worker, required) >= chance


def _speed_class(worker: WorkerCapacity) -> int:
    """Returns the class of speed."""
    if worker.speed < STILL_SPEED:
        return STILL
    if worker.speed < SLOW_SPEED:
        return SLOW
    is_fast = worker.speed * math.exp(-worker.speed_uncertainty) > FAST_SPEED
    return FAST if is_fast else TYPICAL


def _intersect(groups: Groups, includes: WorkerTest) -> Groups:
    """Returns the part of each group that the test includes, without empty parts."""
    parts = ([worker for worker in group if includes(worker)] for group in groups)
    return [part for part in parts if part]
