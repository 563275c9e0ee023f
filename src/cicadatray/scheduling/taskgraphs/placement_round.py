"""One round of placement: which waiting work starts where, and what gives way to it."""

from collections.abc import Sequence

from cicadatray.scheduling.taskgraphs.assignment import Assignment
from cicadatray.scheduling.taskgraphs.displacement import Displacement
from cicadatray.scheduling.taskgraphs.displacement_search import DisplacementSearch
from cicadatray.scheduling.taskgraphs.job_value import job_value
from cicadatray.scheduling.taskgraphs.placement_plan import PlacementPlan
from cicadatray.scheduling.taskgraphs.placement_wait import PlacementWait
from cicadatray.scheduling.taskgraphs.running_work import RunningWork
from cicadatray.scheduling.taskgraphs.start_limits import StartLimits
from cicadatray.scheduling.taskgraphs.task_fit import fit_tasks, present_room, soon_room, total_room
from cicadatray.scheduling.taskgraphs.task_id import TaskRun
from cicadatray.scheduling.taskgraphs.wait_diagnosis import WaitDiagnosis
from cicadatray.scheduling.taskgraphs.waiting_work import WaitingWork
from cicadatray.scheduling.taskgraphs.worker_room import WorkerCapacity

URGENT_PRIORITY = 0
# Work outside its rack takes this many times as long (a property of the platform's network).
FAR_FACTOR = 3.0
# For at most this many blocked gangs room is kept at a time; more would leave workers idle.
KEPT_GANGS = 2
DEFAULT_LIMITS = StartLimits()


class PlacementRound:
    """Pure: the same input gives the same plan. `now_s` is in seconds since 1970."""

    __slots__ = ("kept", "now_s", "plan", "running", "start_limits", "workers")

    def __init__(
        self,
        workers: Sequence[WorkerCapacity],
        running: Sequence[RunningWork],
        now_s: float,
        start_limits: StartLimits = DEFAULT_LIMITS,
    ) -> None:
        self.workers = list(workers)
        self.running = list(running)
        self.now_s = now_s
        self.start_limits = start_limits
        self.kept = 0
        self.plan = PlacementPlan()

    def run(self, waiting: Sequence[WaitingWork]) -> PlacementPlan:
        """Tries all waiting work in the order of its rank."""
        blocked: set[tuple[str, int, int]] = set()
        for work in sorted(waiting, key=lambda w: w.rank(self.now_s)):
            step = (work.graph.graph.graph_id, work.occurrence, work.step_number)
            # What one task of a step finds no room for, its equals do not find either.
            if step not in blocked and not self._try(work) and work.priority != URGENT_PRIORITY:
                blocked.add(step)
        return self.plan

    def _try(self, work: WaitingWork) -> bool:
        """Places the work; returns False where it must wait."""
        usable = self._usable_workers(work)
        groups = self._groups(work, usable)
        for group in groups:
            open_workers = [worker for worker in group if not worker.is_closed]
            limits = self._limits(work, open_workers)
            chosen = fit_tasks(
                open_workers, work.step.demand, len(work.indexes), present_room, limits
            )
            if chosen is not None:
                self._assign(work, chosen)
                return True
        self._note_wait(work, groups)
        self._make_room(work, groups)
        return False

    def _note_wait(self, work: WaitingWork, groups: list[list[WorkerCapacity]]) -> None:
        """Explains the oldest work of each queue only, because each reason costs several fits."""
        queue = work.graph.graph.policy.queue
        known = self.plan.waits.get(queue)
        if known is None or work.ready_s < known.work.ready_s:
            reason = WaitDiagnosis(work, self.workers, groups, self._limits).explain()
            self.plan.waits[queue] = PlacementWait(work, reason)

    def _usable_workers(self, work: WaitingWork) -> list[WorkerCapacity]:
        pool = work.graph.graph.policy.pool
        label = work.step.required_label
        usable = [w for w in self.workers if w.pool == pool and (not label or label in w.labels)]
        trusted = [worker for worker in usable if not worker.is_suspect]
        return trusted or usable

    def _groups(
        self, work: WaitingWork, usable: list[WorkerCapacity]
    ) -> list[list[WorkerCapacity]]:
        """Returns the sets of workers that may take the work, the best first."""
        step = work.step
        is_patient = self.now_s < work.ready_s + step.estimate_s * (FAR_FACTOR - 1)
        if step.data_rack:
            near = [worker for worker in usable if worker.rack == step.data_rack]
            is_possible = self._fits_when_empty(work, near)
            return [near] if is_patient and is_possible else [near, usable]
        if step.is_gang and step.is_rack_local and len(work.indexes) > 1:
            racks = self._racks(usable)
            possible = [rack for rack in racks if self._fits_when_empty(work, rack)]
            return possible if is_patient and possible else [*possible, usable]
        if step.is_gang:
            return [usable]
        # Single tasks fill one rack after the other, so that others stay whole for gangs.
        return [*self._racks(usable), usable]

    def _racks(self, workers: list[WorkerCapacity]) -> list[list[WorkerCapacity]]:
        """Returns the workers of each rack, the rack with the least free accelerators first."""
        racks: dict[str, list[WorkerCapacity]] = {}
        for worker in workers:
            racks.setdefault(worker.rack, []).append(worker)
        return sorted(racks.values(), key=lambda rack: sum(w.free.accelerators for w in rack))

    def _fits_when_empty(self, work: WaitingWork, group: list[WorkerCapacity]) -> bool:
        count = len(work.indexes)
        limits = {w.worker_id: work.step.max_per_worker or count for w in group}
        return fit_tasks(group, work.step.demand, count, total_room, limits) is not None

    def _limits(self, work: WaitingWork, group: list[WorkerCapacity]) -> dict[str, int] | None:
        """Returns how many more tasks of the step each worker may take."""
        step = work.step
        if not step.max_per_worker:
            return None
        limits = {worker.worker_id: step.max_per_worker for worker in group}
        for index in range(step.count):
            progress = work.graph.task(work.occurrence, work.step_number, index)
            if progress is not None and progress.worker_id in limits:
                limits[progress.worker_id] -= 1
        for assignment in self.plan.assignments:
            task = assignment.run.task
            is_same_step = (task.graph_id, task.occurrence, task.step) == (
                work.graph.graph.graph_id,
                work.occurrence,
                work.step_number,
            )
            if is_same_step and assignment.worker_id in limits:
                limits[assignment.worker_id] -= 1
        return limits

    def _assign(self, work: WaitingWork, chosen: list[WorkerCapacity]) -> None:
        for index, worker in zip(work.indexes, chosen, strict=True):
            worker.occupy(work.step.demand)
            run = TaskRun(work.task(index), work.run)
            self.plan.assignments.append(Assignment(run, worker.worker_id))

    def _make_room(self, work: WaitingWork, groups: list[list[WorkerCapacity]]) -> None:
        """Keeps room that is becoming free for the work, and displaces others for urgent work."""
        count = len(work.indexes)
        for group in groups:
            open_workers = [worker for worker in group if not worker.is_closed]
            limits = self._limits(work, open_workers)
            chosen = fit_tasks(open_workers, work.step.demand, count, soon_room, limits)
            if chosen is not None:
                self._keep(work, chosen)
                return
        is_worth_it = work.is_guaranteed or self.now_s < work.start_by_s()
        if work.priority == URGENT_PRIORITY and is_worth_it:
            if not self._has_room_in_time(work, groups):
                self._displace(work, groups)
        elif work.step.is_gang and self.kept < KEPT_GANGS:
            self._wait_for_room(work, groups)

    def _has_room_in_time(self, work: WaitingWork, groups: list[list[WorkerCapacity]]) -> bool:
        """Keeps the room of work that will end by itself before urgent work must start."""
        latest_s = work.start_by_s() - self.start_limits.make_room_s()
        if work.is_guaranteed:
            latest_s = min(latest_s, self.start_limits.displace_by_s(work.graph.accepted_s))
        patience_s = latest_s - self.now_s
        for group in groups:
            open_workers = [worker for worker in group if not worker.is_closed]
            found = self._earliest_fit(work, open_workers)
            if found is not None and found[0] < patience_s:
                self._keep(work, found[1])
                return True
        return False

    def _keep(self, work: WaitingWork, chosen: list[WorkerCapacity]) -> None:
        for worker in chosen:
            worker.free_after_stops = worker.free_after_stops.minus(work.step.demand)
            worker.is_closed = True

    def _displace(self, work: WaitingWork, groups: list[list[WorkerCapacity]]) -> None:
        candidates = [r for r in self.running if r.gives_way_to(work.priority, work.is_guaranteed)]
        best: Displacement | None = None
        for group in groups:
            open_workers = [worker for worker in group if not worker.is_closed]
            limits = self._limits(work, open_workers)
            found = DisplacementSearch(work, open_workers, candidates, limits).run()
            if found is not None and (best is None or found.loss < best.loss):
                best = found
        if best is None or not (work.is_guaranteed or best.loss < job_value(work.priority)):
            return
        for victim in best.victims:
            self.running.remove(victim)
            self.plan.displaced.update(dict.fromkeys(victim.runs, work.graph.graph.graph_id))
            self._release_soon(victim)
        self._keep(work, best.chosen)

    def _release_soon(self, victim: RunningWork) -> None:
        rooms = {worker.worker_id: worker for worker in self.workers}
        for worker_id, room in victim.rooms:
            if worker_id in rooms:
                worker = rooms[worker_id]
                worker.free_after_stops = worker.free_after_stops.plus(room)

    def _wait_for_room(self, work: WaitingWork, groups: list[list[WorkerCapacity]]) -> None:
        """Closes the group that will have room first, so that small tasks do not refill it."""
        best: tuple[float, list[WorkerCapacity]] | None = None
        for group in groups:
            open_workers = [worker for worker in group if not worker.is_closed]
            found = self._earliest_fit(work, open_workers)
            if found is not None and (best is None or found[0] < best[0]):
                best = found
        if best is not None:
            self.kept += 1
            self._keep(work, best[1])

    def _earliest_fit(
        self, work: WaitingWork, group: list[WorkerCapacity]
    ) -> tuple[float, list[WorkerCapacity]] | None:
        """Returns when running work will have left enough room, and the workers that then fit."""
        released = {worker.worker_id: worker.free_after_stops for worker in group}
        limits = self._limits(work, group)
        for running in sorted(self.running, key=RunningWork.remaining_s):
            touched = [(name, room) for name, room in running.rooms if name in released]
            if not touched:
                continue
            for worker_id, room in touched:
                released[worker_id] = released[worker_id].plus(room)
            chosen = fit_tasks(
                group,
                work.step.demand,
                len(work.indexes),
                lambda worker: released[worker.worker_id],
                limits,
            )
            if chosen is not None:
                return running.remaining_s(), chosen
        return None
