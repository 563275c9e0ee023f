"""What a leader tells the placement about running work."""

import asyncio

import pytest

from cicadatray.internal.bench.virtual_time_loop import run_virtual
from cicadatray.internal.control.graphs.placement_input import build_running
from cicadatray.internal.wire.messages.graph_messages import RunReport
from cicadatray.scheduling.taskgraphs.running_work import RunningWork
from cicadatray.scheduling.taskgraphs.task_id import TaskId, TaskRun
from cover.taskgraphs.test_graph_session import call, make_session

# The estimate of the gang in `make_session`.
ESTIMATE_S = 5.0


def running_after(reports: list[tuple[float, int]]) -> RunningWork:
    """Returns the running gang after reports of its progress at the given times."""

    async def main() -> RunningWork:
        session, _ = make_session()
        for number, (time_s, percent) in enumerate(reports):
            await asyncio.sleep(time_s - session.now_s())
            runs = tuple(RunReport(TaskRun(TaskId("g", 0, 0, i), 1), percent) for i in range(2))
            session.handle_sync(call(sequence=number + 1, runs=runs))
        return build_running(session)[0]

    return run_virtual(main())


@pytest.mark.parametrize(
    ("reports", "elapsed_s", "remaining_s"),
    [
        ([(0.0, 0), (4.0, 40)], 4.0, 6.0),
        ([(0.0, 50), (1.0, 60)], 6.0, 4.0),
        ([(0.0, 90), (1.0, 91)], 1.0 + 0.9 * ESTIMATE_S, None),
        ([(0.0, 50)], 0.5 * ESTIMATE_S, 0.5 * ESTIMATE_S),
        ([(0.0, 0)], 0.0, ESTIMATE_S),
    ],
    ids=["seen from the start", "after a change of leader", "slow", "just seen", "just started"],
)
def test_progress_before_this_leader_counts(
    reports: list[tuple[float, int]], elapsed_s: float, remaining_s: float | None
) -> None:
    """Guards against a new leader that expects all running work to end within moments.

    It divided the whole progress of a run by the short time in which it had seen the run. Urgent
    work then waited for capacity that did not become free, and runs of 15 s counted as new and
    were displaced first.
    """
    work = running_after(reports)
    assert work.elapsed_s == pytest.approx(elapsed_s)
    if remaining_s is not None:
        assert work.remaining_s() == pytest.approx(remaining_s)
