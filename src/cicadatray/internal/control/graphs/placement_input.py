"""Converts the leader's workers and runs to the input of a placement round."""

import math
from collections.abc import Generator, Iterable, Mapping, Set

from cicadatray.internal.control.graphs.graph_session import GraphSession
from cicadatray.internal.control.graphs.pool_capacities import build_pools, waves_of
from cicadatray.internal.control.graphs.task_lookup import find_task_progress
from cicadatray.internal.control.graphs.worker_session import WorkerSession
from cicadatray.internal.control.loop_turns import run_at_once
from cicadatray.scheduling.taskgraphs.crash_record import HARMLESS_AFTER_S
from cicadatray.scheduling.taskgraphs.graph_progress import GraphProgress
from cicadatray.scheduling.taskgraphs.job_value import MAX_LATENESS_FACTOR
from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.rules.guarantee_rule import GuaranteeRule
from cicadatray.scheduling.taskgraphs.running_work import RunningWork
from cicadatray.scheduling.taskgraphs.task_id import TaskId, TaskRun
from cicadatray.scheduling.taskgraphs.waiting_work import WaitingWork
from cicadatray.scheduling.taskgraphs.worker_capacity import WorkerCapacity

# A worker that has been silent for this long is probably cut off. It gets no new work, although its
# runs may continue until its lease expires. The limit is two missed calls of an agent.
SILENCE_LIMIT_S = 2.5
# The caller may pause after so many runs.
RUNS_BETWEEN_PAUSES = 64
# The caller may pause after the work of graphs with so many steps.
STEPS_BETWEEN_PAUSES = 256


def build_workers(session: GraphSession) -> list[WorkerCapacity]:
    """Returns the workers that may take new work, with their free capacity."""
    return run_at_once(collect_workers(session))


def collect_workers(session: GraphSession) -> Generator[None, None, list[WorkerCapacity]]:
    """Returns the same as `build_workers`, and yields wherever the caller may pause."""
    available = []
    for worker_id, worker_session in list(session.workers.items()):
        yield
        if not may_take_work(session, worker_session):
            continue
        offer = worker_session.offer
        labels = frozenset(offer.labels)
        worker = WorkerCapacity(worker_id, offer.pool, offer.rack, labels, offer.capacity)
        # Deployments without evacuations place work on cold workers as on any other.
        has_evacuations = session.evacuation_limits.start_limit_s > 0
        worker.is_cold = has_evacuations and offer.cold_remaining_s > 0
        worker.is_suspect = session.now_s() < worker_session.suspect_until_s
        if session.speed_observer is not None:
            session.speed_observer.set_speed(worker)
        if (yield from _charge_runs(session, worker_session, worker)):
            available.append(worker)
    return available


def may_take_work(session: GraphSession, worker: WorkerSession) -> bool:
    """Returns whether anything may be started on a worker now, if it has room."""
    is_silent = session.now_s() - worker.last_reply_s > SILENCE_LIMIT_S
    if worker.is_lost or worker.offer.is_draining or is_silent:
        return False
    return worker.is_reachable and not session.is_evacuated(worker)


def _charge_runs(
    session: GraphSession, worker_session: WorkerSession, worker: WorkerCapacity
) -> Generator[None, None, bool]:
    """Charges all runs that may exist; returns False if the demand of one is unknown."""
    ordered = session.ordered_runs.get(worker.worker_id, {})
    is_on_trial = False
    for place, run in enumerate({*ordered, *worker_session.reports}):
        if place % RUNS_BETWEEN_PAUSES == RUNS_BETWEEN_PAUSES - 1:
            yield
        demand = demand_of(session, run)
        if demand is None:
            return False
        worker.occupy(demand, is_stopping=run not in ordered or not session.is_wanted(run))
        is_on_trial = is_on_trial or _is_on_trial(session, worker_session, run)
    if is_on_trial:
        worker.begin_trial()
    return True


def _is_on_trial(session: GraphSession, worker_session: WorkerSession, run: TaskRun) -> bool:
    """Returns whether a run may still crash its worker by having been started there."""
    progress = session.graphs.get(run.task.graph_id)
    if progress is None or find_task_progress(session.graphs, run) is None:
        return False
    report = worker_session.reports.get(run)
    observed_s = report.observed_s if report else 0.0
    return observed_s < HARMLESS_AFTER_S and progress.is_suspect(run.task)


def demand_of(session: GraphSession, run: TaskRun) -> Resources | None:
    """Returns the demand of a run, or None if its graph has been removed or has no such step.

    A worker may list runs that control never ordered.
    """
    progress = session.graphs.get(run.task.graph_id)
    if progress is None or run.task.step >= len(progress.graph.steps):
        return None
    return progress.graph.steps[run.task.step].demand


def set_deadlines(
    progress: GraphProgress,
    task: TaskId,
    work: RunningWork,
    now_s: float,
    waves: tuple[float, ...] = (),
) -> None:
    """Sets the deadlines of running work, which leave time for the steps that follow it."""
    graph = progress.graph
    step_s = graph.steps[task.step].estimate_s * (waves[task.step] if waves else 1.0)
    successors_s = graph.critical_path_from_s(task.step, waves) - step_s
    objective_s = graph.objective_s(waves)
    begin_s = graph.due_s(task.occurrence) or progress.accepted_s
    offset_s = begin_s - now_s - successors_s
    work.set_deadlines(offset_s + objective_s, offset_s + MAX_LATENESS_FACTOR * objective_s)


def mark_guaranteed(
    rule: GuaranteeRule,
    graphs: Iterable[GraphProgress],
    guaranteed_accelerators: Mapping[str, int],
    waiting: list[WaitingWork],
    running: list[RunningWork],
) -> None:
    """Marks the work of the urgent graphs that the guarantees of their accounts cover.

    `guaranteed_accelerators` holds the guarantee of each account by its name.
    """
    covered = rule(graphs, guaranteed_accelerators)
    for work in waiting:
        work.is_guaranteed = work.graph.graph.graph_id in covered
    for run in running:
        run.is_guaranteed = run.graph_id in covered


def mark_displacing(displacing: dict[str, float], waiting: list[WaitingWork]) -> None:
    """Marks the waiting work of graphs that displaced others, and drops graphs that do not wait.

    `displacing` holds, by graph, when work was first displaced for it, on a clock that never jumps.
    """
    waiting_graphs = {work.graph.graph.graph_id for work in waiting}
    for graph_id in displacing.keys() - waiting_graphs:
        del displacing[graph_id]
    for work in waiting:
        work.displaced_s = displacing.get(work.graph.graph.graph_id, math.inf)


def mark_waiting(
    session: GraphSession, covered: Set[str], waiting: list[WaitingWork]
) -> Generator[None, None, None]:
    """Marks waiting work for a round, and forgets the displacements for graphs that do not wait.

    `covered` has the graphs that guarantees cover. Yields wherever the caller may pause.
    """
    displacing = session.displacing_graphs
    for graph_id in [name for name in displacing if not session.ready.has_ready_work(name)]:
        del displacing[graph_id]
    pools = build_pools(session)
    steps = 0
    for work in waiting:
        graph = work.graph.graph
        steps += len(graph.steps)
        if steps >= STEPS_BETWEEN_PAUSES:
            yield
            steps = 0
        work.is_guaranteed = graph.graph_id in covered
        work.displaced_s = displacing.get(graph.graph_id, math.inf)
        work.waves = waves_of(pools, graph)
        # The graph keeps these times, so that the ranking of its work takes no pass over its steps.
        graph.objective_s(work.waves)


def build_running(session: GraphSession) -> list[RunningWork]:
    """Returns the gangs and single tasks that run and are not being stopped."""
    return run_at_once(collect_running(session))


def collect_running(session: GraphSession) -> Generator[None, None, list[RunningWork]]:
    """Returns the same as `build_running`, and yields wherever the caller may pause."""
    works: dict[tuple[str, int, int, int], RunningWork] = {}
    pools = build_pools(session)
    for worker_id, ordered in list(session.ordered_runs.items()):
        yield
        for place, (run, ordered_s) in enumerate(list(ordered.items())):
            if place % RUNS_BETWEEN_PAUSES == RUNS_BETWEEN_PAUSES - 1:
                yield
            progress = find_task_progress(session.graphs, run)
            if progress is None or progress.is_done or not session.is_wanted(run):
                continue
            task = run.task
            graph = session.graphs[task.graph_id].graph
            step = graph.steps[task.step]
            key = (task.graph_id, task.occurrence, task.step, -1 if step.is_gang else task.index)
            worker_session = session.workers.get(worker_id)
            report = worker_session.reports.get(run) if worker_session else None
            elapsed_s = session.now_s() - ordered_s
            if worker_session is not None and run in worker_session.first_seen_s:
                elapsed_s = worker_session.elapsed_s(run, step.estimate_s, session.now_s())
            work = works.get(key)
            if work is None:
                work = RunningWork(
                    task.graph_id,
                    graph.policy.priority,
                    step.is_checkpointable,
                    step.estimate_s,
                    elapsed_s,
                    report.percent if report else -1,
                )
                work.client_account = graph.client_account
                work.is_long_running = step.is_long_running
                works[key] = work
                waves = waves_of(pools, graph)
                set_deadlines(session.graphs[task.graph_id], task, work, session.wall_s(), waves)
            work.add(run, worker_id, step.demand)
    if session.speed_observer is not None:
        for work in works.values():
            session.speed_observer.set_remaining(work)
    return list(works.values())
