"""The run table of an agent, and its estimate of the worker's clock."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from structlog.testing import capture_logs

from cicadatray.internal.agent.tasks.run_entry import RunPhase
from cicadatray.internal.agent.tasks.run_table import MAX_END_LINES, RunTable
from cicadatray.internal.agent.tasks.worker_clock import WorkerClock
from cicadatray.internal.agent.tasks.worker_port import WorkerView
from cicadatray.internal.wire.messages.graph_messages import RunEnd, RunOrder, RunReport
from cicadatray.scheduling.taskgraphs.run_outcome import RunOutcome
from cicadatray.scheduling.taskgraphs.task_id import TaskId, TaskRun

RUN = TaskRun(TaskId("g", 0, 0, 0), 1)
ORDER = RunOrder(RUN, "spec")
EMPTY = WorkerView((), (), is_complete=True)
LISTED = WorkerView((RunReport(RUN, 40, "saved"),), (), is_complete=True)
ENDED = WorkerView((), (RunEnd(RUN, RunOutcome.DONE, 1),), is_complete=True)
OTHER_RUN = TaskRun(TaskId("g", 0, 0, 1), 1)
PARTIAL = WorkerView((), (RunEnd(OTHER_RUN, RunOutcome.DONE, 1),), is_complete=False)


def running_table() -> RunTable:
    table = RunTable()
    entry = table.add_start(ORDER)
    assert entry is not None
    entry.phase = RunPhase.RUNNING
    entry.answered_s = 1.0
    return table


def test_list_requested_before_the_start_is_ignored() -> None:
    """A list that overlaps a start may lack the run, which must not count as missing."""
    table = running_table()
    for _ in range(3):
        assert table.apply_view(EMPTY, asked_s=1.0, received_s=1.0) == (False, [])


def test_run_missing_from_consecutive_lists_is_stopped() -> None:
    """A run that disappeared without an end occupies capacity forever unless a stop settles it."""
    table = running_table()
    assert table.apply_view(EMPTY, asked_s=2.0, received_s=2.0) == (False, [])
    _, missing = table.apply_view(EMPTY, asked_s=3.0, received_s=3.0)
    assert [entry.run for entry in missing] == [RUN]
    assert RUN in table.runs


@pytest.mark.parametrize(("answered_s", "is_cleared"), [(0.0, False), (1.0, True)])
def test_stopped_run_is_cleared_only_after_the_worker_answered_the_stop(
    answered_s: float, is_cleared: bool
) -> None:
    """A start that is carried out late would use capacity that control has assigned elsewhere."""
    table = running_table()
    entry = table.runs[RUN]
    entry.phase = RunPhase.STOPPING
    entry.answered_s = answered_s
    table.apply_view(EMPTY, asked_s=2.0, received_s=2.0)
    assert (RUN not in table.runs) is is_cleared
    assert [end.outcome for end in table.reported_ends()] == [RunOutcome.CLEARED] * is_cleared


@pytest.mark.parametrize("phase", [RunPhase.RUNNING, RunPhase.STOPPING])
def test_run_whose_end_may_be_unlisted_is_neither_stopped_nor_cleared(phase: RunPhase) -> None:
    """Guards against starting a task again whose end is not among the ends that fit in a list."""
    table = running_table()
    table.runs[RUN].phase = phase
    for asked_s in (2.0, 3.0, 4.0):
        has_ended, missing = table.apply_view(PARTIAL, asked_s, asked_s)
        assert (has_ended, missing) == (asked_s == 2.0, [])
    assert RUN in table.runs and not table.cleared
    table.apply_view(ENDED, asked_s=5.0, received_s=5.0)
    table.drop_committed(1, ())
    assert [end.outcome for end in table.reported_ends()] == []


def test_views_that_may_lack_ends_do_not_count_as_views_without_a_run() -> None:
    """Guards against a run that is stopped after a single view that shows its absence."""
    table = running_table()
    for asked_s, view in ((2.0, EMPTY), (3.0, PARTIAL), (4.0, PARTIAL)):
        assert table.apply_view(view, asked_s, asked_s)[1] == []
    _, missing = table.apply_view(EMPTY, asked_s=5.0, received_s=5.0)
    assert [entry.run for entry in missing] == [RUN]


def test_end_of_a_cleared_run_is_counted() -> None:
    """A task that may have run twice must be visible to operators."""
    table = running_table()
    table.clear(table.runs[RUN])
    table.apply_view(ENDED, asked_s=2.0, received_s=2.0)
    assert table.refuted_clears.render() == [
        'cicadatray_cleared_runs_ended_total{outcome="done"} 1'
    ]


def test_ended_run_is_not_started_by_a_late_order() -> None:
    """An order that arrives after the end of its run must not run the task twice."""
    table = running_table()
    table.apply_view(ENDED, asked_s=2.0, received_s=2.0)
    assert table.add_start(ORDER) is None


def test_ends_are_retained_until_they_are_acknowledged() -> None:
    """An end that is dropped before it is durable is lost when the leader fails."""
    table = running_table()
    table.apply_view(ENDED, asked_s=2.0, received_s=2.0)
    table.drop_committed(0, ())
    assert len(table.reported_ends()) == 1
    table.drop_committed(1, ())
    assert table.reported_ends() == ()
    assert table.apply_view(ENDED, asked_s=3.0, received_s=3.0) == (False, [])


@pytest.mark.parametrize(
    ("view", "is_idle"), [(ENDED, False), (EMPTY, True)], ids=["still listed", "forgotten"]
)
def test_worker_is_observed_until_it_has_forgotten_the_last_end(
    view: WorkerView, is_idle: bool
) -> None:
    """Guards against an end that stays listed because the call with its number had no effect."""
    table = running_table()
    table.apply_view(ENDED, asked_s=2.0, received_s=2.0)
    table.drop_committed(1, ())
    assert not table.is_idle and table.is_settling
    table.record_acknowledged(1, view)
    assert table.is_idle is is_idle


def test_runs_of_an_earlier_incarnation_are_adopted() -> None:
    """After a restart the agent must manage the runs that it finds on its worker."""
    table = RunTable()
    table.apply_view(LISTED, asked_s=0.0, received_s=0.0)
    assert [report.checkpoint for report in (h.report() for h in table.runs.values())] == ["saved"]


@given(
    rate=st.floats(0.98, 1.02),
    delays=st.lists(st.floats(0.0, 2.0), min_size=1, max_size=6),
    gaps=st.lists(st.floats(0.0, 5.0), min_size=6, max_size=6),
    later_s=st.floats(0.0, 20.0),
)
def test_clock_estimate_is_never_ahead(
    rate: float, delays: list[float], gaps: list[float], later_s: float
) -> None:
    """A lease computed from a clock that is ahead expires after control considers it expired."""
    clock = WorkerClock()
    now_s = 0.0
    for delay_s, gap_s in zip(delays, gaps, strict=False):
        now_s += gap_s
        read_at_s = now_s
        now_s += delay_s
        clock.observe(500.0 + rate * read_at_s, now_s)
        assert clock.lower_bound_s(now_s) <= 500.0 + rate * now_s + 1e-6
    now_s += later_s
    assert clock.lower_bound_s(now_s) <= 500.0 + rate * now_s + 1e-6


def test_ends_of_one_view_do_not_use_up_the_log() -> None:
    """Guards against lines that are dropped because one list of ends had hundreds of them."""
    ends = tuple(
        RunEnd(TaskRun(TaskId("g", 0, 0, index), 1), RunOutcome.DONE, index + 1)
        for index in range(500)
    )
    with capture_logs() as lines:
        RunTable().apply_view(WorkerView((), ends, is_complete=False), 1.0, 1.0)
    assert len(lines) == MAX_END_LINES + 1
    assert (lines[-1]["ends"], lines[-1]["last_number"]) == (500 - MAX_END_LINES, 500)
