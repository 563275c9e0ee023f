"""What the logs and metrics of a leader tell about workers and runs that hold work back."""

import asyncio
from collections.abc import Callable
from typing import Any

import msgspec
import pytest
from structlog.testing import capture_logs

from cicadatray.internal.bench.virtual_time_loop import run_virtual
from cicadatray.internal.control.graphs.belief_log import LATE_END_S, BeliefLog
from cicadatray.internal.control.graphs.graph_session import GraphSession
from cicadatray.internal.control.graphs.placement_input import SILENCE_LIMIT_S
from cicadatray.internal.control.graphs.worker_availability import (
    Unavailability,
    register_availability_gauge,
)
from cicadatray.internal.control.graphs.worker_session import WorkerSession
from cicadatray.internal.observability.metrics_registry import MetricsRegistry
from cicadatray.internal.wire.messages.graph_messages import RunReport
from cicadatray.scheduling.taskgraphs.run_outcome import RunOutcome
from cicadatray.scheduling.taskgraphs.task_id import TaskId, TaskRun
from cicadatray.scheduling.taskgraphs.worker_end import WorkerEnd
from cover.taskgraphs.test_graph_session import RUN, call, make_session, reports

UNKNOWN = TaskRun(TaskId("other", 0, 0, 0), 1)

Belief = Callable[[GraphSession, WorkerSession], None]


def ended(session: GraphSession, worker: WorkerSession) -> None:
    worker.end = WorkerEnd.SILENT


def silent(session: GraphSession, worker: WorkerSession) -> None:
    worker.last_reply_s = session.now_s() - 2 * SILENCE_LIMIT_S


def draining(session: GraphSession, worker: WorkerSession) -> None:
    worker.offer = msgspec.structs.replace(worker.offer, is_draining=True)


def unreachable(session: GraphSession, worker: WorkerSession) -> None:
    worker.is_reachable = False


def unknown_run(session: GraphSession, worker: WorkerSession) -> None:
    worker.reports[UNKNOWN] = RunReport(UNKNOWN, 40)


def on_trial(session: GraphSession, worker: WorkerSession) -> None:
    session.graphs["g"].tasks["0.0.0"].crashes.add(0.0)


def suspect(session: GraphSession, worker: WorkerSession) -> None:
    worker.suspect_until_s = session.now_s() + 60.0


@pytest.mark.parametrize(
    "belief", [ended, silent, draining, unreachable, unknown_run, on_trial, suspect]
)
def test_logs_and_metrics_tell_why_a_worker_takes_no_work(belief: Belief) -> None:
    """Guards against idle workers without a line that says why work waits beside them."""

    async def main() -> str:
        session, _ = make_session()
        worker = session.handle_sync(call(runs=reports(0, 1)))
        assert worker is not None
        beliefs = BeliefLog(session)
        beliefs.scan()
        belief(session, worker)
        for _ in range(3):
            beliefs.scan()
        metrics = MetricsRegistry()
        register_availability_gauge(metrics, lambda: session)
        text = metrics.render_text()
        session.remove_worker("w-1")
        beliefs.scan()
        return text

    with capture_logs() as captured:
        text = run_virtual(main())
    reason = Unavailability[belief.__name__.upper()]
    lines: list[Any] = [line for line in captured if line["event"].startswith("worker takes no")]
    assert [line["event"] for line in lines] == [
        "worker takes no work",
        "worker takes no work, ended",
    ]
    assert [line["reason"] for line in lines] == [reason.value] * 2
    assert lines[0]["unknown_runs"] == (["other.0.0.0/1"] if belief is unknown_run else [])
    assert f'cicadatray_workers_unavailable{{reason="{belief.__name__}"}} 1' in text


def revoked(session: GraphSession) -> None:
    session.revoked_runs.add(RUN)


def not_ordered(session: GraphSession) -> None:
    del session.ordered_runs["w-1"][RUN]


def without_worker(session: GraphSession) -> None:
    session.workers.clear()


@pytest.mark.parametrize("belief", [revoked, not_ordered, without_worker])
def test_run_that_holds_its_task_back_is_named(belief: Callable[[GraphSession], None]) -> None:
    """Guards against a task that waits for a former run of which the logs tell nothing."""

    async def main() -> None:
        session, graph = make_session()
        session.handle_sync(call(runs=reports(0, 1)))
        belief(session)
        beliefs = BeliefLog(session)
        task = asyncio.create_task(beliefs.run())
        await asyncio.sleep(3 * LATE_END_S)
        for index in range(2):
            task_id = TaskId("g", 0, 0, index)
            graph.record_end(task_id, 1, "w-1", RunOutcome.LOST, "")
        session.ordered_runs.clear()
        await asyncio.sleep(LATE_END_S)
        task.cancel()

    with capture_logs() as captured:
        run_virtual(main())
    lines: list[Any] = [line for line in captured if line["event"].startswith("run h")]
    held = [line for line in lines if (line["graph"], line["task"]) == ("g", "0.0.0")]
    assert [line["event"] for line in held] == ["run holds its task back", "run has ended late"]
    first = held[0]
    assert (first["worker"], first["agent"], first["run"]) == ("w-1", "a", 1)
    assert first["held_s"] >= LATE_END_S
    assert first["is_ordered"] is (belief is not not_ordered)
    assert first["is_revoked"] is (belief is revoked)
    assert first["is_worker_known"] is (belief is not without_worker)


def test_leader_goes_on_when_its_beliefs_cannot_be_logged() -> None:
    """Guards against a session that ends because of its log lines."""

    async def main() -> None:
        session, _ = make_session()
        session.workers["w-9"] = None  # type: ignore[assignment]
        task = asyncio.create_task(BeliefLog(session).run())
        await asyncio.sleep(3 * LATE_END_S)
        assert not task.done()
        task.cancel()

    with capture_logs() as captured:
        run_virtual(main())
    assert {line["event"] for line in captured} == {"beliefs not logged"}
