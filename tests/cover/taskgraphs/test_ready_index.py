"""Tests of the ready work that a leader keeps."""

import random

import pytest

from cicadatray.internal.control import commands
from cicadatray.internal.control.control_state import ControlState
from cicadatray.internal.control.graphs import ready_index
from cicadatray.internal.control.graphs.ready_index import ReadyIndex
from cicadatray.internal.control.loop_turns import run_at_once
from cicadatray.internal.wire.message import MessageStruct
from cicadatray.internal.wire.messages.graph_messages import (
    AcceptGraph,
    EndGraph,
    PlacedEnd,
    PlacedRun,
    RecordRuns,
    RunEnd,
)
from cicadatray.scheduling.taskgraphs.queue_policy import QueuePolicy
from cicadatray.scheduling.taskgraphs.ready_work import find_ready_work
from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.run_outcome import RunOutcome
from cicadatray.scheduling.taskgraphs.step import Step
from cicadatray.scheduling.taskgraphs.task_graph import Repetition, TaskGraph
from cicadatray.scheduling.taskgraphs.task_id import TaskId, TaskRun

assert commands.COMMAND_MODULES
ONE = Resources(1, 1, 1)
BEGIN_S = 1000.0


def make_graph(number: int, step: Step, repetition: Repetition | None = None) -> TaskGraph:
    policy = QueuePolicy("queue", "pool", number % 3, 2, 3.0, 1.0)
    later = Step(1, ONE, 1.0, depends_on=(0,))
    return TaskGraph(f"g{number}", "a", policy, "", (step, later), repetition)


class IndexedState:
    """A replicated state and the index that follows its commands."""

    def __init__(self) -> None:
        self.state = ControlState()
        self.index = ReadyIndex(self.state.graphs.graphs)
        self.state.listeners.append(self.index.on_command_applied)
        self.now_s = BEGIN_S

    def apply(self, command: MessageStruct) -> None:
        self.state.apply(1, self.state.encode_command(command))

    def expected(self) -> list[tuple[TaskRun, ...]]:
        return [
            tuple(TaskRun(work.task(index), work.run) for index in work.indexes)
            for graph in self.state.graphs.graphs.values()
            for work in find_ready_work(graph, self.now_s)
        ]

    def found(self) -> list[tuple[TaskRun, ...]]:
        run_at_once(self.index.update(self.now_s))
        return [
            tuple(TaskRun(work.task(index), work.run) for index in work.indexes)
            for step in self.index.waiting()
            for work in step.each()
        ]


@pytest.mark.parametrize("seed", range(30))
def test_index_follows_the_commands(seed: int) -> None:
    """Guards against ready work that is never placed, or placed although it runs or has ended."""
    draw = random.Random(seed)
    indexed = IndexedState()
    for number in range(6):
        step = Step(draw.randint(1, 4), ONE, 1.0, is_gang=draw.random() < 0.3)
        repetition = None
        if draw.random() < 0.4:
            first_due_s = BEGIN_S + draw.randint(-3, 8)
            repetition = Repetition(draw.randint(1, 4), first_due_s, draw.choice((0.0, 1.5)))
        indexed.apply(AcceptGraph(graph=make_graph(number, step, repetition), now_s=BEGIN_S))
    for _ in range(60):
        indexed.now_s += draw.choice((0.0, 0.5, 1.0, -2.0))
        found = indexed.found()
        assert found == indexed.expected()
        for runs in found:
            if draw.random() < 0.3:
                starts = tuple(PlacedRun(run, f"w{draw.randint(0, 2)}", "a") for run in runs)
                indexed.apply(RecordRuns(now_s=indexed.now_s, starts=starts))
        for progress in list(indexed.state.graphs.graphs.values()):
            for key, task in list(progress.tasks.items()):
                if task.worker_id and draw.random() < 0.3:
                    end = end_of(progress.graph.graph_id, key, task.run, draw)
                    placed = PlacedEnd(end, task.worker_id)
                    indexed.apply(RecordRuns(now_s=indexed.now_s, ends=(placed,)))
        name = f"g{draw.randint(0, 5)}"
        if draw.random() < 0.03:
            indexed.apply(EndGraph(graph_id=name, now_s=indexed.now_s))
        progress = indexed.state.graphs.graphs.get(name)
        if progress is not None and progress.ended_s and draw.random() < 0.2:
            indexed.apply(RecordRuns(now_s=indexed.now_s, removed_graph_ids=(name,)))


def end_of(graph_id: str, key: str, run: int, draw: random.Random) -> RunEnd:
    outcomes = (RunOutcome.DONE, RunOutcome.LOST, RunOutcome.CRASHED, RunOutcome.DONE)
    task = TaskId.from_key(graph_id, key)
    return RunEnd(TaskRun(task, run), draw.choice(outcomes), 1, observed_s=draw.random())


def test_only_changed_graphs_are_read_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against rounds that each read all waiting jobs, whether they have changed or not."""
    read: list[str] = []
    find_ready_steps = ready_index.find_ready_steps

    def counted(graph, now_s):  # type: ignore[no-untyped-def]
        read.append(graph.graph.graph_id)
        return find_ready_steps(graph, now_s)

    monkeypatch.setattr(ready_index, "find_ready_steps", counted)
    indexed = IndexedState()
    for number in range(50):
        indexed.apply(AcceptGraph(graph=make_graph(number, Step(2, ONE, 1.0)), now_s=BEGIN_S))
    assert len(indexed.found()) == 100
    assert len(read) == 50
    read.clear()
    indexed.apply(EndGraph(graph_id="g7", now_s=BEGIN_S))
    run = indexed.found()[0][0]
    indexed.apply(RecordRuns(now_s=BEGIN_S, starts=(PlacedRun(run, "w", "a"),)))
    assert len(indexed.found()) == 97
    assert read == ["g0"]
