"""Revokes runs on workers of evacuated data centres."""

from typing import TYPE_CHECKING

import structlog

from cicadatray.internal.control.graphs.graph_statistics import EVACUATED
from cicadatray.internal.control.graphs.worker_session import WorkerSession
from cicadatray.internal.observability.graph_metrics import runs_displaced
from cicadatray.scheduling.taskgraphs.task_id import TaskId, TaskRun

if TYPE_CHECKING:
    from cicadatray.internal.control.graphs.graph_session import GraphSession

log = structlog.get_logger(__name__)


def revoke_unstarted(session: "GraphSession", worker: WorkerSession) -> None:
    """Revokes the runs ordered on a worker that it has not listed, with the rest of their gangs.

    An agent may still send the start of a run that its worker has not listed, and with its next
    reply it may do so for longer. Hence every reply to an evacuated data centre revokes them.
    """
    worker_id = worker.offer.worker_id
    ordered = session.ordered_runs.get(worker_id, {})
    unstarted = [
        run for run in ordered if run not in session.revoked_runs and worker.may_still_start(run)
    ]
    for run in unstarted:
        for member, member_worker_id in _gang_members(session, run, worker_id):
            if member in session.revoked_runs:
                continue
            revoke_evacuated(session, member, reason="not started")
            member_worker = session.workers.get(member_worker_id)
            if member_worker is not None:
                member_worker.wake.set()


def revoke_evacuated(session: "GraphSession", run: TaskRun, **fields: object) -> None:
    """Stops a run so that it starts again elsewhere; `fields` are added to the log line."""
    session.revoked_runs.add(run)
    runs_displaced(session.leader.metrics).increment(reason=EVACUATED)
    session.statistics.record_displacement(run, EVACUATED)
    log.info("run evacuated", graph=run.task.graph_id, task=run.task.key, run=run.run, **fields)


def _gang_members(
    session: "GraphSession", run: TaskRun, worker_id: str
) -> list[tuple[TaskRun, str]]:
    """Returns the runs that may exist and make no progress without this run, with itself.

    Each is returned with its worker. Reads only the tasks of the gang, because an evacuation calls
    this for every start that is under way.
    """
    progress, task = session.graphs.get(run.task.graph_id), run.task
    if progress is None or not progress.graph.steps[task.step].is_gang:
        return [(run, worker_id)]
    members = [(run, worker_id)]
    for index in range(progress.graph.steps[task.step].count):
        member = progress.task(task.occurrence, task.step, index)
        if index == task.index or member is None or not member.worker_id or member.run != run.run:
            continue
        member_id = TaskId(task.graph_id, task.occurrence, task.step, index)
        members.append((TaskRun(member_id, run.run), member.worker_id))
    return members
