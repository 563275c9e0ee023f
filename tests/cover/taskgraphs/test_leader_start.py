"""Tests of how a leader reads a large replicated state while it carries out other work."""

from collections.abc import Generator

from cicadatray.internal.bench.backlog_runs.backlog_shapes import build_graph
from cicadatray.internal.bench.backlog_runs.bench_leader import BenchLeader
from cicadatray.internal.bench.virtual_time_loop import run_virtual
from cicadatray.internal.control.control_state import ControlState
from cicadatray.internal.control.graphs.belief_log import BeliefLog
from cicadatray.internal.control.graphs.placement_input import (
    RUNS_BETWEEN_PAUSES,
    collect_running,
    collect_workers,
)
from cicadatray.internal.control.graphs.recorded_runs import TASKS_BETWEEN_PAUSES
from cicadatray.internal.control.graphs.worker_wakes import wake_workers_of
from cicadatray.internal.control.loop_turns import run_at_once
from cicadatray.internal.wire.messages.graph_messages import (
    AcceptGraph,
    PlacedEnd,
    PlacedRun,
    RecordRuns,
    RunEnd,
)
from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.run_outcome import RunOutcome
from cicadatray.scheduling.taskgraphs.step import Step
from cicadatray.scheduling.taskgraphs.task_id import TaskId, TaskRun

TASKS = 3000
JOBS = 200
WIDE = f"{0:016x}"
NOW_S = 1000.0


def make_state() -> ControlState:
    """Returns a state with a job whose tasks all run on two workers, and many that wait."""
    state = ControlState()
    for number in range(JOBS):
        step = Step(TASKS if number == 0 else 1, Resources(10, 1, 0), 10.0)
        graph = build_graph(number, (step,))
        state.apply(1, state.encode_command(AcceptGraph(graph=graph, now_s=NOW_S)))
    starts = tuple(
        PlacedRun(run_of(task), f"worker-{1 + task % 2}", f"agent-{1 + task % 2}")
        for task in range(TASKS)
    )
    state.apply(1, state.encode_command(RecordRuns(now_s=NOW_S, starts=starts)))
    return state


def run_of(task: int) -> TaskRun:
    return TaskRun(TaskId(WIDE, 0, 0, task), 1)


def end_of(task: int) -> PlacedEnd:
    return PlacedEnd(RunEnd(run_of(task), RunOutcome.DONE, 1), f"worker-{1 + task % 2}")


def count_steps(steps: Generator[None, None, object]) -> int:
    return sum(1 for _ in steps)


def test_state_is_read_in_steps() -> None:
    """Guards against a new leader that is deposed while it reads the work it has inherited."""

    async def main() -> None:
        session = BenchLeader(make_state()).session
        assert count_steps(session.load()) >= 2 * JOBS + TASKS // TASKS_BETWEEN_PAUSES
        assert sum(map(len, session.ordered_runs.values())) == TASKS
        assert len(session.statistics.counts_by_graph) == JOBS

    run_virtual(main())


def test_commits_while_the_state_is_read_are_not_lost() -> None:
    """Guards against runs that a new leader orders again after their end, or never orders."""

    async def main() -> None:
        state = make_state()
        session = BenchLeader(state).session
        ended = set()
        for place, _ in enumerate(session.load()):
            task = 37 * place
            if task < TASKS:
                ended.add(run_of(task))
                command = RecordRuns(now_s=NOW_S, ends=(end_of(task),))
                state.apply(1, state.encode_command(command))
            if place == 5:
                start = PlacedRun(TaskRun(TaskId(f"{1:016x}", 0, 0, 0), 1), "worker-1", "agent-1")
                state.apply(1, state.encode_command(RecordRuns(now_s=NOW_S, starts=(start,))))
        expected = {run_of(task) for task in range(TASKS)} - ended | {start.run}
        assert ended and set().union(*session.ordered_runs.values()) == expected

    run_virtual(main())


def test_beliefs_are_found_in_steps() -> None:
    """Guards against a scan for the log that holds the event loop for all running tasks."""

    async def main() -> None:
        leader = BenchLeader(make_state())
        run_at_once(leader.session.load())
        steps = count_steps(BeliefLog(leader.session).scan_in_steps())
        assert steps >= JOBS + 2 * TASKS // RUNS_BETWEEN_PAUSES - 4

    run_virtual(main())


def test_few_runs_on_each_of_many_workers_are_read_in_steps() -> None:
    """Guards against pauses that come only after many runs of one worker."""

    async def main() -> None:
        state = make_state()
        starts = tuple(
            PlacedRun(
                TaskRun(TaskId(f"{number:016x}", 0, 0, 0), 1), f"worker-{number}", f"agent-{number}"
            )
            for number in range(1, JOBS)
        )
        state.apply(1, state.encode_command(RecordRuns(now_s=NOW_S, starts=starts)))
        leader = BenchLeader(state)
        session = leader.session
        run_at_once(session.load())
        for number in range(1, JOBS):
            leader.sync(number)
        assert count_steps(collect_running(session)) >= JOBS - 1
        assert count_steps(collect_workers(session)) >= JOBS - 1
        assert count_steps(BeliefLog(session).scan_in_steps()) >= 3 * (JOBS - 1)

    run_virtual(main())


def test_ends_wake_only_the_workers_of_their_job() -> None:
    """Guards against an order computed for each worker after each end of any task."""

    async def main() -> None:
        leader = BenchLeader(make_state())
        session = leader.session
        run_at_once(session.load())
        leader.sync_all()
        for worker in session.workers.values():
            worker.wake.clear()
        wake_workers_of(session, {WIDE, "removed"})
        woken = {name for name, worker in session.workers.items() if worker.wake.is_set()}
        assert woken == {"worker-1", "worker-2"}

    run_virtual(main())
