"""Why workers take no new work."""

from collections.abc import Callable, Generator
from enum import Enum

from cicadatray.internal.control.graphs.graph_session import GraphSession
from cicadatray.internal.control.graphs.placement_input import (
    SILENCE_LIMIT_S,
    collect_workers,
    demand_of,
)
from cicadatray.internal.control.graphs.worker_session import WorkerSession
from cicadatray.internal.control.loop_turns import run_at_once
from cicadatray.internal.observability.metrics_registry import MetricsRegistry
from cicadatray.internal.observability.queue_metrics import unavailable_workers


class Unavailability(Enum):
    """Reasons for which a worker takes no new work, or only work that fits nowhere else.

    They are in the order in which they are looked for; the first one that holds is reported.
    """

    ENDED = "has ended"
    SILENT = "its agent is silent"
    DRAINING = "drains"
    UNREACHABLE = "refuses connections"
    EVACUATED = "its data centre is evacuated"
    UNKNOWN_RUN = "has a run of a graph that is not known"
    ON_TRIAL = "runs a task that may crash it"
    SUSPECT = "has failed runs in a row"


def find_unavailable(session: GraphSession) -> dict[str, Unavailability]:
    """Returns the workers that take no new work now, each with the reason."""
    return run_at_once(collect_unavailable(session))


def collect_unavailable(
    session: GraphSession,
) -> Generator[None, None, dict[str, Unavailability]]:
    """Returns the same as `find_unavailable`, and yields wherever the caller may pause."""
    offering = yield from collect_workers(session)
    offered = {worker.worker_id: worker for worker in offering}
    reasons: dict[str, Unavailability] = {}
    for worker_id, worker in session.workers.items():
        capacity = offered.get(worker_id)
        if capacity is None:
            reasons[worker_id] = _find_reason(session, worker)
        elif capacity.is_on_trial:
            reasons[worker_id] = Unavailability.ON_TRIAL
        elif capacity.is_suspect:
            reasons[worker_id] = Unavailability.SUSPECT
    return reasons


def find_unknown_runs(session: GraphSession, worker: WorkerSession) -> list[str]:
    """Returns the runs on a worker whose demand is not known."""
    ordered = session.ordered_runs.get(worker.offer.worker_id, {})
    runs = {*ordered, *worker.reports}
    return sorted(f"{run.task}/{run.run}" for run in runs if demand_of(session, run) is None)


def _find_reason(session: GraphSession, worker: WorkerSession) -> Unavailability:
    if worker.is_lost:
        return Unavailability.ENDED
    if session.now_s() - worker.last_reply_s > SILENCE_LIMIT_S:
        return Unavailability.SILENT
    if worker.offer.is_draining:
        return Unavailability.DRAINING
    if not worker.is_reachable:
        return Unavailability.UNREACHABLE
    return Unavailability.EVACUATED if session.is_evacuated(worker) else Unavailability.UNKNOWN_RUN


def register_availability_gauge(
    registry: MetricsRegistry, current_session: Callable[[], GraphSession | None]
) -> None:
    """Registers the gauge of workers that take no work, computed when metrics are read."""

    def read() -> dict[tuple[str, ...], float]:
        session = current_session()
        if session is None:
            return {}
        reasons = list(find_unavailable(session).values())
        return {(reason.name.lower(),): reasons.count(reason) for reason in Unavailability}

    unavailable_workers(registry).read_label_sets_from(read)
