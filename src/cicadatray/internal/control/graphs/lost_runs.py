"""The ends of runs whose worker has ended."""

from collections.abc import Iterator

import structlog

from cicadatray.internal.control.graphs.graph_session import GraphSession
from cicadatray.internal.control.graphs.worker_session import WorkerSession
from cicadatray.internal.wire.messages.graph_messages import PlacedEnd, RunEnd, RunReport
from cicadatray.scheduling.taskgraphs.run_outcome import RunOutcome
from cicadatray.scheduling.taskgraphs.worker_end import WorkerEnd

log = structlog.get_logger(__name__)


def lost_run_ends(session: GraphSession, worker_id: str) -> Iterator[PlacedEnd]:
    """Yields an end for every run that may exist on a worker that has ended.

    Those are left out whose ends the agent has reported, as these are proposed already. Ends may be
    stored between two of them.
    """
    worker = session.workers.get(worker_id)
    for run in list(session.ordered_runs.get(worker_id, {})):
        is_ended = run not in session.ordered_runs.get(worker_id, {})
        if is_ended or (worker_id, run) in session.unstored_ends:
            continue
        report = worker.reports.get(run) if worker else None
        outcome = _outcome(worker, report)
        checkpoint = report.checkpoint if report else ""
        observed_s = report.observed_s if report else 0.0
        log.info(
            "run lost with its worker",
            run=str(run.task),
            number=run.run,
            worker=worker_id,
            outcome=outcome.value,
            observed_s=round(observed_s, 2) if report else None,
        )
        yield PlacedEnd(
            RunEnd(run, outcome, checkpoint=checkpoint, observed_s=observed_s), worker_id
        )


def _outcome(worker: WorkerSession | None, report: RunReport | None) -> RunOutcome:
    """Returns the outcome of one run.

    A worker that this leader does not know may have ended for any cause, and a run that its agent
    never reported has probably not begun.
    """
    if worker is None or report is None or worker.end is not WorkerEnd.CRASHED:
        return RunOutcome.LOST
    return RunOutcome.CRASHED if report.may_have_begun else RunOutcome.CLEARED
