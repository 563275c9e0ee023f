"""Revokes runs on workers of evacuated data centres."""

from typing import TYPE_CHECKING

import structlog

from cicadatray.internal.control.graphs.graph_statistics import EVACUATED
from cicadatray.internal.control.graphs.worker_session import WorkerSession
from cicadatray.internal.observability.graph_metrics import runs_displaced
from cicadatray.scheduling.taskgraphs.task_id import TaskRun

if TYPE_CHECKING:
    from cicadatray.internal.control.graphs.graph_session import GraphSession

log = structlog.get_logger(__name__)


def revoke_unstarted(session: "GraphSession", worker: WorkerSession) -> None:
    """Revokes the runs ordered on a worker that it has not listed, with the rest of their gangs.

    An agent may still send the start of a run that its worker has not listed, and with its next
    reply it may do so for longer. Hence every reply to an evacuated data centre revokes them.
    """
    ordered = session.ordered_runs.get(worker.offer.worker_id, {})
    unstarted = [
        run for run in ordered if run not in session.revoked_runs and worker.may_still_start(run)
    ]
    for run in unstarted:
        for member in _gang_members(session, run):
            if member not in session.revoked_runs:
                revoke_evacuated(session, member, reason="not started")
    if unstarted:
        session.wake_all()


def revoke_evacuated(session: "GraphSession", run: TaskRun, **fields: object) -> None:
    """Stops a run so that it starts again elsewhere; `fields` are added to the log line."""
    session.revoked_runs.add(run)
    runs_displaced(session.leader.metrics).increment(reason=EVACUATED)
    session.statistics.record_displacement(run, EVACUATED)
    log.info("run evacuated", graph=run.task.graph_id, task=run.task.key, run=run.run, **fields)


def _gang_members(session: "GraphSession", run: TaskRun) -> list[TaskRun]:
    """Returns the runs that may exist and make no progress without this run, with itself."""
    progress = session.graphs.get(run.task.graph_id)
    if progress is None or not progress.graph.steps[run.task.step].is_gang:
        return [run]
    task = run.task
    return [
        other
        for ordered in session.ordered_runs.values()
        for other in ordered
        if other.run == run.run
        and (other.task.graph_id, other.task.occurrence, other.task.step)
        == (task.graph_id, task.occurrence, task.step)
    ]
