"""Shows the leader's workers and runs to the placement of the scheduling library."""

from cicadatray.internal.control.graphs.graph_session import GraphSession, progress_of
from cicadatray.internal.control.graphs.worker_session import WorkerSession
from cicadatray.scheduling.taskgraphs.graph_progress import GraphProgress
from cicadatray.scheduling.taskgraphs.job_value import MAX_LATENESS_FACTOR
from cicadatray.scheduling.taskgraphs.placement_round import URGENT_PRIORITY
from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.running_work import RunningWork
from cicadatray.scheduling.taskgraphs.task_id import TaskId, TaskRun
from cicadatray.scheduling.taskgraphs.waiting_work import WaitingWork
from cicadatray.scheduling.taskgraphs.worker_room import WorkerCapacity

# A worker that was not heard for this long is probably cut off: it gets no new work, although what
# runs there may go on until its lease ends. Two missed calls of an agent.
SILENT_S = 2.5


def build_workers(session: GraphSession) -> list[WorkerCapacity]:
    """Returns the workers that may take new work, with what is free on them."""
    now_s = session.now_s()
    rooms = []
    for worker_id, held in session.workers.items():
        offer = held.offer
        is_silent = now_s - held.answered_s > SILENT_S
        if held.is_lost or offer.is_draining or is_silent:
            continue
        labels = frozenset(offer.labels)
        worker = WorkerCapacity(worker_id, offer.pool, offer.rack, labels, offer.capacity)
        worker.is_suspect = now_s < held.suspect_until_s
        if not _occupy(session, held, worker):
            continue
        rooms.append(worker)
    return rooms


def _occupy(session: GraphSession, held: WorkerSession, worker: WorkerCapacity) -> bool:
    """Counts all runs that may exist; returns False when the room of one is not known."""
    ordered = session.ordered.get(worker.worker_id, {})
    for run in {*ordered, *held.reports}:
        room = room_of(session, run)
        if room is None:
            return False
        worker.occupy(room, is_stopping=run not in ordered or not session.is_wanted(run))
    return True


def room_of(session: GraphSession, run: TaskRun) -> Resources | None:
    """Returns what a run takes of its worker; None when its graph is no longer known."""
    graph = session.graphs.get(run.task.graph_id)
    return graph.graph.steps[run.task.step].demand if graph else None


def _set_deadlines(progress: GraphProgress, task: TaskId, work: RunningWork, now_s: float) -> None:
    graph = progress.graph
    follows_s = graph.critical_path_from_s(task.step) - graph.steps[task.step].estimate_s
    objective_s = graph.policy.stretch * graph.critical_path_s() + graph.policy.target_latency_s
    begin_s = graph.due_s(task.occurrence) or progress.accepted_s
    left_s = begin_s - now_s - follows_s
    work.set_deadlines(left_s + objective_s, left_s + MAX_LATENESS_FACTOR * objective_s)


def mark_guaranteed(
    session: GraphSession, waiting: list[WaitingWork], running: list[RunningWork]
) -> None:
    """Marks the urgent work of accounts whose urgent jobs need no more than their guarantee."""
    needed: dict[str, int] = {}
    for progress in session.graphs.values():
        graph = progress.graph
        if progress.is_active and graph.policy.priority == URGENT_PRIORITY:
            accelerators = sum(step.count * step.needs.accelerators for step in graph.steps)
            account = graph.client_account
            needed[account] = needed.get(account, 0) + accelerators * graph.occurrences
    within = {
        account.name
        for account in session.leader.state.graphs.queues.accounts
        if needed.get(account.name, 0) <= account.guaranteed_accelerators
    }
    for work in waiting:
        is_urgent = work.priority == URGENT_PRIORITY
        work.is_guaranteed = is_urgent and work.graph.graph.client_account in within
    for run in running:
        account_name = session.graphs[run.graph_id].graph.client_account
        run.is_guaranteed = run.priority == URGENT_PRIORITY and account_name in within


def build_running(session: GraphSession) -> list[RunningWork]:
    """Returns what runs and is not being stopped, gangs as a whole."""
    works: dict[tuple[str, int, int, int], RunningWork] = {}
    for worker_id, ordered in session.ordered.items():
        for run, ordered_s in ordered.items():
            progress = progress_of(session.graphs, run)
            if progress is None or progress.is_done or not session.is_wanted(run):
                continue
            task = run.task
            graph = session.graphs[task.graph_id].graph
            step = graph.steps[task.step]
            key = (task.graph_id, task.occurrence, task.step, -1 if step.is_gang else task.index)
            held = session.workers.get(worker_id)
            seen_s = held.first_seen_s.get(run, ordered_s) if held else ordered_s
            report = held.reports.get(run) if held else None
            work = works.get(key)
            if work is None:
                work = RunningWork(
                    task.graph_id,
                    graph.policy.priority,
                    step.is_checkpointable,
                    step.estimate_s,
                    session.now_s() - seen_s,
                    report.percent if report else -1,
                )
                works[key] = work
                _set_deadlines(session.graphs[task.graph_id], task, work, session.wall_s())
            work.add(run, worker_id, step.demand)
    return list(works.values())
