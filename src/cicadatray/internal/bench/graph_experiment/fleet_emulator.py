"""Runs jobs in rounds of placement on emulated workers."""

from cicadatray.internal.bench.graph_experiment.disturbances import CALM, Disturbances
from cicadatray.internal.bench.graph_experiment.emulated_run import EmulatedRun
from cicadatray.internal.bench.graph_experiment.errors import InvalidPlanError
from cicadatray.internal.bench.graph_experiment.experiment_policy import RoundFactory
from cicadatray.internal.bench.graph_experiment.load_sheet import LoadSheet
from cicadatray.internal.bench.graph_experiment.planned_job import PlannedJob
from cicadatray.internal.bench.graph_experiment.run_result import RunResult
from cicadatray.internal.bench.graph_experiment.speed_reports import SpeedReports, run_id_of
from cicadatray.internal.control.graphs.placement_input import (
    SILENCE_LIMIT_S,
    mark_displacing,
    mark_guaranteed,
    set_deadlines,
)
from cicadatray.internal.control.graphs.task_leases import TaskLeases
from cicadatray.scheduling.taskgraphs.graph_progress import GraphProgress
from cicadatray.scheduling.taskgraphs.job_value import URGENT_PRIORITY
from cicadatray.scheduling.taskgraphs.placement_plan import PlacementPlan
from cicadatray.scheduling.taskgraphs.ready_work import find_ready_work
from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.rules.packed import REMOTE_SLOWDOWN
from cicadatray.scheduling.taskgraphs.rules.scheduling_rules import DEFAULT_RULES, SchedulingRules
from cicadatray.scheduling.taskgraphs.run_outcome import RunOutcome
from cicadatray.scheduling.taskgraphs.running_work import RunningWork
from cicadatray.scheduling.taskgraphs.task_id import TaskRun
from cicadatray.scheduling.taskgraphs.waiting_work import WaitingWork
from cicadatray.scheduling.taskgraphs.worker_capacity import WorkerCapacity

# Control plans a round at least this often; in production, changes trigger rounds sooner.
ROUND_S = 0.25
# The time to stop a run, to record its end and to store the next start.
STOP_S = 0.5
# The work that a checkpointable run loses when it is stopped.
CHECKPOINT_S = 0.5
LEASES = TaskLeases()


class FleetEmulator:
    """Emulates workers in simulated time, which each round advances; nothing is random."""

    __slots__ = (
        "displacing",
        "disturbances",
        "graphs",
        "guarantees",
        "jobs",
        "make_round",
        "now_s",
        "racks",
        "result",
        "runs",
        "saved_s",
        "rules",
        "sheet",
        "speed_reports",
        "speeds",
    )

    def __init__(
        self,
        sheet: LoadSheet,
        jobs: list[PlannedJob],
        make_round: RoundFactory,
        disturbances: Disturbances = CALM,
        rules: SchedulingRules = DEFAULT_RULES,
        knows_speeds: bool = False,
    ) -> None:
        self.rules = rules
        self.sheet = sheet
        self.disturbances = disturbances
        self.jobs = {job.graph.graph_id: job for job in jobs}
        accounts = {job.graph.client_account for job in jobs}
        self.guarantees = {account: sheet.guarantee_of(account) for account in accounts}
        self.make_round = make_round
        self.now_s = 0.0
        numbers = range(sheet.workers)
        self.racks = {sheet.worker_id(n): f"r{n // sheet.workers_per_rack}" for n in numbers}
        self.speeds = {sheet.worker_id(n): sheet.speed_of(n) for n in numbers}
        uses_speeds = rules.find_candidates().uses_speeds
        self.speed_reports = SpeedReports(knows_speeds) if uses_speeds else None
        self.graphs: dict[str, GraphProgress] = {}
        self.runs: dict[TaskRun, EmulatedRun] = {}
        self.displacing: dict[str, float] = {}
        self.saved_s: dict[TaskRun, float] = {}
        self.result = RunResult(sheet.core_seconds_per_worth)

    def run(self) -> RunResult:
        """Runs until no unfinished job can earn any more, and returns what the jobs earned."""
        end_s = max((job.worthless_after_s() for job in self.jobs.values()), default=0.0)
        while self.now_s < end_s:
            self._update_runs()
            if not self.disturbances.is_control_out(self.now_s):
                self._process_arrivals()
                self._process_ends()
                self._report_progress()
                self._place_waiting_work()
            self.now_s += ROUND_S
        for graph_id, job in self.jobs.items():
            progress = self.graphs.get(graph_id)
            if progress is None or not progress.is_cancelled:
                ended_s = progress.ended_s if progress and progress.ended_s else None
                self.result.count_job(job, ended_s)
        return self.result

    def _update_runs(self) -> None:
        """Applies the disturbances of the last round to the runs."""
        for run in self._distinct_runs():
            workers = {worker_id for _, worker_id in run.placed_tasks}
            ends_s = [
                self.disturbances.lease_end_s(w, run.started_s, self.now_s, LEASES.lease_s)
                for w in workers
            ]
            if min(ends_s) <= self.now_s:
                run.lost_s = min(ends_s)
            if run.started_s <= self.now_s:
                run.set_speed(self._speed(run), self.now_s)

    def _speed(self, run: EmulatedRun) -> float:
        """Returns the speed of the slowest member, in proportion to a sound worker."""
        workers = {worker_id for _, worker_id in run.placed_tasks}
        factor = max(self.disturbances.slow_factor(w, self.now_s) / self.speeds[w] for w in workers)
        if run.work.step.is_rack_local and len({self.racks[w] for w in workers}) > 1:
            factor *= REMOTE_SLOWDOWN
        return 1.0 / factor

    def _process_arrivals(self) -> None:
        for graph_id, job in self.jobs.items():
            if graph_id not in self.graphs and job.arrival_s <= self.now_s:
                self.graphs[graph_id] = GraphProgress(job.graph, job.arrival_s)
            progress = self.graphs.get(graph_id)
            if progress and progress.is_active and job.cancelled_s <= self.now_s:
                progress.is_cancelled = True
                for run in self._distinct_runs():
                    if run.work.graph is progress:
                        self._stop(run, "cancelled")

    def _stop(self, run: EmulatedRun, cause: str) -> None:
        """Stops a run; a silent worker learns of it when it returns."""
        if run.stop_end_s is None:
            heard_s = max(self._heard_s(worker_id) for _, worker_id in run.placed_tasks)
            run.stop_end_s = heard_s + STOP_S
            run.stop_cause = cause

    def _heard_s(self, worker_id: str) -> float:
        """Returns when the worker hears of a decision of now."""
        return max(
            (
                spell.until_s
                for spell in self.disturbances.silences
                if spell.is_on(self.now_s) and worker_id in spell.worker_ids
            ),
            default=self.now_s,
        )

    def _is_end_known(self, run: EmulatedRun) -> bool:
        """Returns whether control learns of the end of a run now.

        One member of a gang reports that all are done; a stopped or lost run has ended once all
        have ended.
        """
        silent = [
            self.disturbances.is_silent(worker_id, self.now_s) for _, worker_id in run.placed_tasks
        ]
        if run.is_lost():
            expired_s = run.end_s() - LEASES.lease_s + LEASES.expiry_s
            return not any(silent) or self.now_s >= expired_s
        if run.is_stopped() or run.fails:
            return not any(silent)
        return not all(silent)

    def _process_ends(self) -> None:
        for run in self._distinct_runs():
            end_s = run.end_s()
            if end_s > self.now_s or not self._is_end_known(run):
                continue
            outcome = RunOutcome.DONE
            if run.is_stopped() or run.is_lost() or run.fails:
                self._count_lost_work(run, end_s)
                outcome = RunOutcome.FAILED if run.fails else RunOutcome.STOPPED
            for task_run, worker_id in run.placed_tasks:
                if self.speed_reports is not None and outcome is RunOutcome.DONE:
                    self.speed_reports.speeds.end(worker_id, run_id_of(task_run), self.now_s)
                del self.runs[task_run]
                run.work.graph.record_end(task_run.task, task_run.run, worker_id, outcome, "")
            run.work.graph.finish_if_done(end_s)

    def _count_lost_work(self, run: EmulatedRun, end_s: float) -> None:
        """Counts what a run has lost, and keeps the progress that its next run resumes from."""
        elapsed_s = end_s - run.started_s
        cause = "lost" if run.is_lost() else run.stop_cause if run.is_stopped() else "failed"
        lost_s = elapsed_s
        if run.work.step.is_checkpointable and not run.fails:
            # A silent worker cannot report its checkpoints.
            unsaved_s = CHECKPOINT_S + (LEASES.lease_s if run.is_lost() else 0.0)
            lost_s = min(elapsed_s, unsaved_s)
        self.result.count_waste(run.work.graph.graph.policy.queue, cause, run.core_seconds(lost_s))
        kept_s = max(0.0, run.progress_at_s(end_s) - lost_s)
        self.saved_s[run.placed_tasks[0][0]] = run.saved_s + kept_s

    def _report_progress(self) -> None:
        if self.speed_reports is not None:
            heard = [w for w in self.racks if not self.disturbances.is_silent(w, self.now_s)]
            self.speed_reports.report(heard, self._distinct_runs(), self.now_s)

    def _place_waiting_work(self) -> None:
        active = [graph for graph in self.graphs.values() if graph.is_active]
        waiting = [work for graph in active for work in find_ready_work(graph, self.now_s)]
        if not waiting:
            return
        workers = self._workers()
        running = self._list_running_work()
        mark_guaranteed(self.rules.find_guarantees(), active, self.guarantees, waiting, running)
        mark_displacing(self.displacing, waiting)
        if self.speed_reports is not None:
            true_speeds = {
                w: speed / self.disturbances.slow_factor(w, self.now_s)
                for w, speed in self.speeds.items()
            }
            self.speed_reports.set_speeds(workers, running, true_speeds)
        placement = self.make_round(list(workers.values()), running, self.now_s)
        if self.speed_reports is not None:
            self.speed_reports.share_corrections(placement.view.memory)
        plan = placement.run(waiting)
        self._apply_plan(plan, waiting)

    def _distinct_runs(self) -> list[EmulatedRun]:
        return list(dict.fromkeys(self.runs.values()))

    def _workers(self) -> dict[str, WorkerCapacity]:
        """Returns the workers that control may use, with their free capacity."""
        workers = {}
        for name, rack in self.racks.items():
            if self.disturbances.silent_s(name, self.now_s) <= SILENCE_LIMIT_S:
                workers[name] = WorkerCapacity(name, "pool", rack, frozenset(), self.sheet.capacity)
        for run in self._distinct_runs():
            for _, worker_id in run.placed_tasks:
                if worker_id not in workers:
                    continue
                workers[worker_id].occupy(run.work.step.demand, run.stop_end_s is not None)
        return workers

    def _list_running_work(self) -> list[RunningWork]:
        running_work = []
        for run in self._distinct_runs():
            if run.stop_end_s is not None:
                continue
            graph, step = run.work.graph.graph, run.work.step
            work = RunningWork(
                graph.graph_id,
                graph.policy.priority,
                step.is_checkpointable,
                step.estimate_s,
                max(0.0, self.now_s - run.started_s),
                run.percent_done(self.now_s),
            )
            work.client_account = graph.client_account
            set_deadlines(run.work.graph, run.placed_tasks[0][0].task, work, self.now_s)
            for task_run, worker_id in run.placed_tasks:
                work.add(task_run, worker_id, step.demand)
            running_work.append(work)
        return running_work

    def _apply_plan(self, plan: PlacementPlan, waiting: list[WaitingWork]) -> None:
        for task_run, for_graph in plan.displaced.items():
            self.displacing.setdefault(for_graph, self.now_s)
            self._stop(self.runs[task_run], "displaced")
        work_by_task = {work.task(index): work for work in waiting for index in work.indexes}
        started: dict[int, EmulatedRun] = {}
        for assignment in plan.assignments:
            task = assignment.run.task
            work = work_by_task[task]
            run = started.get(id(work))
            if run is None:
                job = self.jobs[task.graph_id]
                fails = work.run <= job.failures
                previous_run = TaskRun(task, assignment.run.run - 1)
                saved_s = self.saved_s.pop(previous_run, 0.0)
                run = EmulatedRun(work, self.now_s, job.duration_s(task), saved_s, fails)
                started[id(work)] = run
                if work.priority == URGENT_PRIORITY and work.run == 1:
                    self._count_urgent_start(work)
            if not work.graph.record_start(task, assignment.run.run, assignment.worker_id):
                raise InvalidPlanError(f"{task.key} of {task.graph_id} is already running")
            run.placed_tasks.append((assignment.run, assignment.worker_id))
            self.runs[assignment.run] = run
        for run in started.values():
            # A silent worker starts the run when it hears of it.
            run.started_s = run.updated_s = max(self._heard_s(w) for _, w in run.placed_tasks)
            run.speed = self._speed(run)
        for worker in self._workers().values():
            if not Resources().fits_in(worker.free):
                raise InvalidPlanError(f"{worker.worker_id} exceeds its capacity")

    def _count_urgent_start(self, work: WaitingWork) -> None:
        wait_s = self.now_s - work.ready_s
        self.result.urgent_waits_s.append(wait_s)
        if work.is_guaranteed:
            self.result.guaranteed_waits_s.append(wait_s)
