"""Tests of a leader over more work than fits in one round or one command."""

import asyncio
from collections.abc import Generator, Iterable
from typing import Any

import pytest
from structlog.testing import capture_logs

from cicadatray.internal.bench.backlog_runs.backlog_shapes import build_graph
from cicadatray.internal.bench.backlog_runs.bench_leader import WORKERS, BenchLeader
from cicadatray.internal.bench.virtual_time_loop import run_virtual
from cicadatray.internal.control.control_state import ControlState
from cicadatray.internal.control.graphs.end_recorder import MAX_ENDS
from cicadatray.internal.control.graphs.graph_loop import GraphLoop
from cicadatray.internal.control.graphs.placement_input import RUNS_BETWEEN_PAUSES, build_running
from cicadatray.internal.control.graphs.valid_assignments import valid_assignments
from cicadatray.internal.control.loop_turns import run_at_once
from cicadatray.internal.observability.graph_metrics import task_wait_seconds
from cicadatray.internal.wire.messages.graph_messages import (
    AcceptGraph,
    EndGraph,
    RecordRuns,
    RunEnd,
    RunReport,
)
from cicadatray.scheduling.taskgraphs.assignment import Assignment
from cicadatray.scheduling.taskgraphs.displacement import Displacement
from cicadatray.scheduling.taskgraphs.placement_plan import PlacementPlan
from cicadatray.scheduling.taskgraphs.placement_round import MAX_STARTS
from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.run_outcome import RunOutcome
from cicadatray.scheduling.taskgraphs.step import Step
from cicadatray.scheduling.taskgraphs.task_graph import TaskGraph
from cicadatray.scheduling.taskgraphs.task_id import TaskId, TaskRun
from cicadatray.scheduling.taskgraphs.worker_end import WorkerEnd

TINY = Resources(10, 1, 0)
TASKS = 3 * MAX_STARTS + 7


def make_leader(graphs: Iterable[TaskGraph], commands: list[RecordRuns]) -> BenchLeader:
    """Returns a leader with these graphs, whose commands about runs are added to the list."""
    state = ControlState()
    leader = BenchLeader(state)

    def record(command: Any) -> None:
        if isinstance(command, RecordRuns):
            commands.append(command)

    state.listeners.append(record)
    for graph in graphs:
        state.apply(
            1, state.encode_command(AcceptGraph(graph=graph, now_s=leader.session.wall_s()))
        )
    leader.leader.started_s -= 10.0
    leader.sync_all()
    return leader


async def place_all(leader: BenchLeader, rounds: int) -> GraphLoop:
    loop = GraphLoop(leader.session)
    for _ in range(rounds):
        await loop._place()
    return loop


@pytest.mark.parametrize("is_gang", [True, False], ids=["gang", "single tasks"])
def test_starts_of_a_wide_step_are_stored_in_parts(is_gang: bool) -> None:
    """Guards against one command that all control instances take long to apply.

    All members of a gang are ordered nevertheless.
    """
    commands: list[RecordRuns] = []

    async def main() -> None:
        step = Step(TASKS, TINY, 10.0, is_gang=is_gang)
        leader = make_leader([build_graph(1, (step,))], commands)
        await place_all(leader, 1 if is_gang else 4)
        session = leader.session
        started = [
            start.run
            for number in range(WORKERS)
            for start in session.orders_for(session.workers[f"worker-{number}"]).starts
        ]
        assert len(started) == len(set(started)) == TASKS

    run_virtual(main())
    assert max(len(command.starts) for command in commands) <= MAX_STARTS
    assert sum(len(command.starts) for command in commands) == TASKS


def test_wait_of_each_started_task_is_measured_once() -> None:
    """Guards against a pass over all waiting tasks for each task that starts.

    One job of 6,000 tasks of a hundredth of a core stopped the whole service.
    """

    async def main() -> None:
        leader = make_leader([build_graph(1, (Step(TASKS, TINY, 10.0),))], [])
        await place_all(leader, 4)
        text = leader.leader.metrics.render_text()
        assert f'cicadatray_task_wait_seconds_count{{priority="1"}} {TASKS}' in text
        assert task_wait_seconds(leader.leader.metrics)

    run_virtual(main())


def test_ends_of_a_lost_worker_are_stored_in_parts() -> None:
    """Guards against the loss of a worker with thousands of runs that holds up all control."""
    commands: list[RecordRuns] = []

    async def main() -> None:
        leader = make_leader([build_graph(1, (Step(TASKS, TINY, 10.0),))], commands)
        loop = await place_all(leader, 4)
        session = leader.session
        (full_id,) = [name for name, runs in session.ordered_runs.items() if len(runs) > MAX_ENDS][
            :1
        ]
        runs = len(session.ordered_runs[full_id])
        session.workers[full_id].end = WorkerEnd.WITHDRAWN
        await loop.losses.record()
        ends = [len(command.ends) for command in commands if command.ends]
        assert sum(ends) == runs and max(ends) <= MAX_ENDS
        assert full_id not in session.ordered_runs

    run_virtual(main())


def test_ends_of_lost_workers_are_computed_in_parts() -> None:
    """Guards against a loss of all workers whose runs are all logged in one turn of the loop."""
    commands: list[RecordRuns] = []
    computed: list[int] = []

    async def main() -> None:
        leader = make_leader([build_graph(1, (Step(TASKS, TINY, 10.0),))], commands)
        loop = await place_all(leader, 4)
        session = leader.session
        for worker in session.workers.values():
            worker.end = WorkerEnd.WITHDRAWN
        commands.clear()
        with capture_logs() as lines:
            session.leader.state.listeners.append(
                lambda _: computed.append(
                    sum(line["event"] == "run lost with its worker" for line in lines)
                )
            )
            await loop.losses.record()
        assert not session.ordered_runs
        # No run was recorded twice, although the parts are stored one after another.
        ended = [placed.end.run for command in commands for placed in command.ends]
        assert len(ended) == len(set(ended)) == TASKS

    run_virtual(main())
    assert computed == [min(part * MAX_ENDS, TASKS) for part in range(1, len(computed) + 1)]
    assert len(computed) == -(-TASKS // MAX_ENDS)


def test_ends_of_one_report_are_stored_in_parts() -> None:
    """Guards against thousands of ends at once that hold up all control, or of which some stay."""
    commands: list[RecordRuns] = []

    async def main() -> None:
        leader = make_leader([build_graph(1, (Step(TASKS, TINY, 10.0),))], commands)
        loop = await place_all(leader, 4)
        session = leader.session
        runs = {name: list(runs) for name, runs in session.ordered_runs.items()}
        recording = asyncio.create_task(loop.recorder.run())
        for name, on_worker in runs.items():
            ends = [RunEnd(run, RunOutcome.DONE, n) for n, run in enumerate(on_worker, 1)]
            leader.sync(int(name.removeprefix("worker-")), ends=tuple(ends))
        await asyncio.sleep(1.0)
        recording.cancel()
        assert session.graphs[f"{1:016x}"].ended_s
        assert not any(session.ordered_runs.values())
        for name, on_worker in runs.items():
            assert session.workers[name].committed_end_number == len(on_worker)

    run_virtual(main())
    ends = [len(command.ends) for command in commands if command.ends]
    assert sum(ends) == TASKS and max(ends) <= MAX_ENDS


@pytest.mark.parametrize("change", ["draining", "gone", "cancelled"])
def test_start_that_has_become_invalid_takes_its_gang_along(change: str) -> None:
    """Guards against starts on workers, or of jobs, that have left during a long round."""

    async def main() -> None:
        steps = (Step(2, TINY, 10.0, is_gang=True), Step(1, TINY, 10.0))
        leader = make_leader([build_graph(1, steps)], [])
        session = leader.session
        graph_id = f"{1:016x}"
        plan = [
            Assignment(TaskRun(TaskId(graph_id, 0, 0, 0), 1), "worker-0"),
            Assignment(TaskRun(TaskId(graph_id, 0, 0, 1), 1), "worker-1"),
            Assignment(TaskRun(TaskId(graph_id, 0, 1, 0), 1), "worker-0"),
        ]
        assert run_at_once(valid_assignments(session, plan)) == plan
        if change == "draining":
            leader.sync(1, is_draining=True)
        elif change == "gone":
            session.remove_worker("worker-1")
        else:
            await session.leader.propose(EndGraph(graph_id=graph_id, now_s=session.wall_s()))
        expected = [] if change == "cancelled" else plan[2:]
        assert run_at_once(valid_assignments(session, plan)) == expected

    run_virtual(main())


def count_steps(steps: Generator[None, None, None]) -> int:
    return sum(1 for _ in steps)


def test_stops_of_many_runs_give_way() -> None:
    """Guards against the displacement or evacuation of thousands of runs in one turn."""

    async def main() -> None:
        leader = make_leader([build_graph(1, (Step(TASKS, TINY, 10.0, is_gang=True),))], [])
        loop = await place_all(leader, 1)
        session = leader.session
        (gang,) = build_running(session)
        plan = PlacementPlan()
        plan.displacements.append(Displacement([gang], []))
        plan.displaced.update(dict.fromkeys(gang.runs, "urgent"))
        steps = loop.displacements.carry_out(plan)
        next(steps)
        assert session.revoked_runs == set(gang.runs)
        assert count_steps(steps) >= TASKS // RUNS_BETWEEN_PAUSES - 1
        session.revoked_runs.clear()
        for number in range(WORKERS):
            leader.sync(number, is_draining=True)
        assert count_steps(loop._evacuate()) >= WORKERS // 2
        assert session.revoked_runs == set(gang.runs)

    run_virtual(main())


class TickingLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock goes on with each look at it."""

    now_s = 0.0

    def time(self) -> float:
        self.now_s += 0.001
        return self.now_s


def test_urgent_job_does_not_wait_for_the_end_of_a_long_round() -> None:
    """Guards against urgent work that starts later the more other work waits."""
    commands: list[RecordRuns] = []
    urgent = build_graph(9_999_999, (Step(1, TINY, 10.0),), 0)
    accepted_in_round: list[int] = []

    async def main() -> None:
        steps = (Step(1, Resources(1_000_000 + number, 1, 1), 10.0) for number in range(3000))
        leader = make_leader([build_graph(n, (step,)) for n, step in enumerate(steps)], commands)
        session = leader.session
        loop = GraphLoop(session)
        await loop._place()
        for number in range(3):
            round_ = asyncio.create_task(loop._place())
            for _ in range(30):
                await asyncio.sleep(0)
            if number == 0:
                assert not round_.done()
                command = AcceptGraph(graph=urgent, now_s=session.wall_s())
                session.leader.state.apply(1, session.leader.state.encode_command(command))
            await round_
            leader.sync_all()
            accepted_in_round.append(sum(len(c.starts) for c in commands))

    loop = TickingLoop()
    try:
        loop.run_until_complete(main())
    finally:
        loop.close()
    assert accepted_in_round == [0, 1, 1]


def test_reports_of_runs_do_not_change_the_ready_work() -> None:
    """Guards against calls of agents that make a round read all jobs again."""

    async def main() -> None:
        leader = make_leader([build_graph(1, (Step(3, TINY, 10.0),))], [])
        await place_all(leader, 1)
        run_at_once(leader.session.ready.update(leader.session.wall_s()))
        for name, runs in leader.session.ordered_runs.items():
            reports = tuple(RunReport(run, 50) for run in runs)
            leader.sync(int(name.removeprefix("worker-")), reports)
        assert not leader.session.ready.changed

    run_virtual(main())
