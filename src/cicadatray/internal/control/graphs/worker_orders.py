"""The orders that a leader sends to the agent of a worker."""

from collections.abc import Iterable
from typing import TYPE_CHECKING

from cicadatray.internal.control.graphs.evacuated_runs import revoke_unstarted
from cicadatray.internal.control.graphs.worker_session import WorkerSession
from cicadatray.internal.wire.frame import FRAME_LIMIT_BYTES
from cicadatray.internal.wire.messages.graph_messages import RunOrder, WorkerOrders
from cicadatray.scheduling.taskgraphs.task_id import TaskRun

if TYPE_CHECKING:
    from cicadatray.internal.control.graphs.graph_session import GraphSession

# The starts in one reply, by the size of their texts. A reply has to fit in a frame, with the
# identifiers of its starts and stops; what is left follows in the reply to the agent's next call.
MAX_STARTS_BYTES = FRAME_LIMIT_BYTES // 8


def build_orders(session: "GraphSession", worker: WorkerSession) -> WorkerOrders:
    """Returns the lease, acknowledgements, starts and stops for the agent of a worker."""
    worker_id = worker.offer.worker_id
    ordered = session.ordered_runs.get(worker_id, {})
    is_evacuated = session.is_evacuated(worker)
    if is_evacuated:
        revoke_unstarted(session, worker)
    starts: list[TaskRun] = []
    stops = [run for run in worker.reports if run not in ordered]
    for run in ordered:
        if not session.is_wanted(run):
            stops.append(run)
        elif run not in worker.reports and not is_evacuated:
            starts.append(run)
    first_starts = _first_starts(session, starts)
    return WorkerOrders(
        term=session.leader.term,
        worker_id=worker_id,
        lease_s=session.leases.lease_s,
        committed_end_number=worker.committed_end_number,
        starts=first_starts,
        stops=tuple(stops),
        committed_clears=tuple(worker.committed_clears),
        start_permission_s=session.evacuation_limits.start_permission_s,
        has_all_starts=len(first_starts) == len(starts) and not is_evacuated,
    )


def _first_starts(session: "GraphSession", runs: Iterable[TaskRun]) -> tuple[RunOrder, ...]:
    """Returns the orders of the first runs that fit in one reply, but at least of one."""
    starts: list[RunOrder] = []
    size = 0
    for run in runs:
        graph = session.graphs[run.task.graph_id]
        start = RunOrder(run, graph.graph.spec, graph.tasks[run.task.key].checkpoint)
        size += len(start.spec.encode()) + len(start.checkpoint.encode())
        if starts and size > MAX_STARTS_BYTES:
            break
        starts.append(start)
    return tuple(starts)
