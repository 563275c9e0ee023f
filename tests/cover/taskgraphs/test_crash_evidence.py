"""What agents and leaders know of a run whose worker has ended."""

import asyncio
from typing import Any

import msgspec
import pytest

from cicadatray.internal.agent.tasks.errors import WorkerUnansweredError, WorkerUnreachableError
from cicadatray.internal.agent.tasks.run_table import RunTable
from cicadatray.internal.agent.tasks.worker_port import StartAnswer, WorkerView
from cicadatray.internal.bench.virtual_time_loop import run_virtual
from cicadatray.internal.control.graphs.lost_runs import lost_run_ends
from cicadatray.internal.control.graphs.placement_input import build_workers
from cicadatray.internal.wire.messages.graph_messages import RunReport
from cicadatray.scheduling.taskgraphs.run_outcome import RunOutcome
from cicadatray.scheduling.taskgraphs.task_id import TaskId
from cicadatray.scheduling.taskgraphs.worker_end import WorkerEnd
from cover.taskgraphs.test_graph_session import LEASES, RUN, call, make_session
from cover.taskgraphs.test_task_agent import ORDER, FakePort, make_executor, orders

LISTED = WorkerView((RunReport(RUN, 40),), (), is_complete=True)


@pytest.mark.parametrize(
    ("answers", "is_cleared"),
    [
        ([WorkerUnreachableError("refused")], True),
        ([WorkerUnansweredError("reset"), WorkerUnreachableError("refused")], False),
        ([StartAnswer.ACCEPTED], False),
    ],
    ids=["refused", "refused after a reset", "accepted"],
)
def test_refused_start_goes_elsewhere(
    answers: list[StartAnswer | Exception], is_cleared: bool
) -> None:
    """Guards against work that waits for a worker that is down, and is blamed for its crash.

    A reset connection proves nothing: the task may have crashed the worker before its answer.
    """

    async def main() -> None:
        driver = make_executor(FakePort(*answers, *[WorkerUnreachableError("refused")] * 9))
        driver.apply(orders(starts=()))
        driver.apply(orders())
        await asyncio.sleep(1.0)
        assert (RUN in driver.table.cleared) is is_cleared
        assert is_cleared or driver.table.runs[RUN].report().may_have_begun
        driver.cancel()

    run_virtual(main())


@pytest.mark.parametrize("is_reachable", [True, False])
def test_worker_that_refuses_connections_gets_no_new_work(is_reachable: bool) -> None:
    """Guards against work that is placed on a worker that its agent knows to be down."""

    async def main() -> None:
        session, _ = make_session()
        session.handle_sync(call(runs=(RunReport(RUN, 40),), is_worker_reachable=is_reachable))
        assert [w.worker_id for w in build_workers(session)] == ["w-1"] * is_reachable

    run_virtual(main())


def test_time_on_the_worker_counts_from_list_to_list() -> None:
    """Guards against taking the time after a crash for time in which the run did no harm."""
    table = RunTable()
    table.add_start(ORDER)
    for asked_s in (1.0, 1.5, 3.0):
        table.apply_view(LISTED, asked_s, asked_s + 0.4)
    assert table.runs[RUN].report().observed_s == pytest.approx(1.6)
    table.apply_view(WorkerView((), (), is_complete=True), 9.0, 9.1)
    assert table.runs[RUN].report().observed_s == pytest.approx(1.6)


@pytest.mark.parametrize(
    ("accepted_at_s", "clocks_s", "observed_s"),
    [
        (100.0, (100.6, 101.4), 1.4),
        (0.0, (100.6, 101.4), 0.8),
        (100.0, (0.0, 0.0), 0.0),
        (101.0, (100.6, 100.9), 0.3),
    ],
    ids=["accepted", "adopted", "clock unknown", "lists overtaken by the answer"],
)
def test_time_on_the_worker_counts_by_its_own_clock(
    accepted_at_s: float, clocks_s: tuple[float, ...], observed_s: float
) -> None:
    """Guards against taking a run that was at work for one that crashed its worker at its start.

    A list that waits for the end of a run is made up to 0.5 s after it was requested.
    """

    async def main() -> None:
        table = RunTable()
        entry = table.add_start(ORDER)
        assert entry is not None
        if accepted_at_s:
            entry.record_accepted(accepted_at_s)
        for clock_s in clocks_s:
            table.apply_view(msgspec.structs.replace(LISTED, clock_s=clock_s), 1.0, 1.5)
        assert table.runs[RUN].report().observed_s == pytest.approx(observed_s)

    run_virtual(main())


def test_leader_learns_what_the_agent_saw_last_of_a_worker_that_crashed() -> None:
    """Guards against evidence of the last 0.5 s that is dropped with the worker.

    A run that the leader does not know to be there is not added: it may not have begun.
    """

    async def main() -> None:
        session, _ = make_session()
        session.handle_sync(call(runs=(RunReport(RUN, 40, observed_s=0.2),)))
        other = msgspec.structs.replace(RUN, task=TaskId("g", 0, 0, 1))
        last = tuple(RunReport(run, 60, "saved", observed_s=1.3) for run in (RUN, other))
        session.handle_sync(
            call(sequence=2, offer=None, ended_worker_id="w-1", ended_worker_runs=last)
        )
        ends = {placed.end.run: placed.end for placed in lost_run_ends(session, "w-1")}
        assert ends[RUN].observed_s == 1.3 and ends[RUN].checkpoint == "saved"
        assert ends[other].outcome is RunOutcome.LOST

    run_virtual(main())


@pytest.mark.parametrize(
    ("fields", "outcome"),
    [
        ({"ended_worker_cause": WorkerEnd.CRASHED}, RunOutcome.CRASHED),
        ({"ended_worker_cause": WorkerEnd.WITHDRAWN}, RunOutcome.LOST),
        ({"ended_worker_cause": WorkerEnd.SILENT}, RunOutcome.LOST),
        (None, RunOutcome.LOST),
    ],
    ids=["crashed", "withdrew", "gave no answer", "agent was silent"],
)
def test_end_of_a_worker_tells_its_cause(
    fields: dict[str, Any] | None, outcome: RunOutcome
) -> None:
    """Guards against taking a worker that left or was cut off for one that its task crashed."""

    async def main() -> None:
        session, _ = make_session()
        session.handle_sync(call(runs=(RunReport(RUN, 40),)))
        if fields is None:
            await asyncio.sleep(LEASES.expiry_s + 0.01)
        else:
            session.handle_sync(call(sequence=2, offer=None, ended_worker_id="w-1", **fields))
        ends = {placed.end.run: placed.end.outcome for placed in lost_run_ends(session, "w-1")}
        assert ends[RUN] is outcome

    run_virtual(main())


@pytest.mark.parametrize(
    ("is_draining", "outcome"), [(False, RunOutcome.CRASHED), (True, RunOutcome.LOST)]
)
def test_worker_that_drained_has_not_crashed(is_draining: bool, outcome: RunOutcome) -> None:
    """Guards against blaming tasks for a worker that was taken away after its notice."""

    async def main() -> None:
        session, _ = make_session()
        worker = session.handle_sync(call(runs=(RunReport(RUN, 40),)))
        assert worker is not None
        worker.offer = msgspec.structs.replace(worker.offer, is_draining=is_draining)
        session.handle_sync(call("w-2", sequence=2))
        ends = {placed.end.run: placed.end.outcome for placed in lost_run_ends(session, "w-1")}
        assert ends[RUN] is outcome

    run_virtual(main())


@pytest.mark.parametrize(
    ("report", "outcome"),
    [
        (RunReport(RUN, -1, may_have_begun=False), RunOutcome.CLEARED),
        (RunReport(RUN, -1), RunOutcome.CRASHED),
    ],
    ids=["never begun", "unknown"],
)
def test_run_that_never_began_has_not_crashed_its_worker(
    report: RunReport, outcome: RunOutcome
) -> None:
    """Guards against counting a crash for a run that was ordered while the worker was down."""

    async def main() -> None:
        session, _ = make_session()
        session.handle_sync(call(runs=(report,)))
        session.handle_sync(call("w-2", sequence=2))
        ends = {placed.end.run: placed.end.outcome for placed in lost_run_ends(session, "w-1")}
        assert ends[RUN] is outcome

    run_virtual(main())
