"""The checkpoints that workers have reported."""

from cicadatray.internal.control.graphs.graph_session import GraphSession
from cicadatray.internal.control.graphs.task_lookup import find_task_progress
from cicadatray.internal.wire.messages.graph_messages import RunCheckpoint


def new_checkpoints(session: GraphSession) -> tuple[RunCheckpoint, ...]:
    """Returns the reported checkpoints that are not durable yet, at most one for each gang."""
    checkpoints: dict[tuple[str, int, int, int], RunCheckpoint] = {}
    for worker in session.workers.values():
        for run, report in worker.reports.items():
            if not report.checkpoint:
                continue
            progress = find_task_progress(session.graphs, run)
            if progress is None or progress.run != run.run:
                continue
            if report.checkpoint == progress.checkpoint:
                continue
            task = run.task
            is_gang = session.graphs[task.graph_id].graph.steps[task.step].is_gang
            key = (task.graph_id, task.occurrence, task.step, -1 if is_gang else task.index)
            checkpoints[key] = RunCheckpoint(run, report.checkpoint)
    return tuple(checkpoints.values())
