"""Tests of the graphs that a read of a queue counts as waiting."""

import random

import pytest

from cicadatray.internal.control import commands
from cicadatray.internal.control.control_state import ControlState
from cicadatray.internal.control.graphs.unbegun_graphs import UnbegunGraphs
from cicadatray.internal.control.loop_turns import run_at_once
from cicadatray.internal.wire.message import MessageStruct
from cicadatray.internal.wire.messages.graph_messages import (
    AcceptGraph,
    EndGraph,
    PlacedRun,
    RecordRuns,
)
from cicadatray.scheduling.taskgraphs.graph_progress import GraphProgress
from cicadatray.scheduling.taskgraphs.queue_policy import QueuePolicy
from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.step import Step
from cicadatray.scheduling.taskgraphs.task_graph import TaskGraph
from cicadatray.scheduling.taskgraphs.task_id import TaskId, TaskRun

assert commands.COMMAND_MODULES
NOW_S = 1000.0
QUEUES = ("q0", "q1", "empty")


def make_graph(number: int) -> TaskGraph:
    policy = QueuePolicy(f"q{number % 2}", "pool", 1, 2, 3.0, 1.0)
    return TaskGraph(f"g{number}", "a", policy, "", (Step(2, Resources(1, 1, 1), 1.0),))


def count(graphs: dict[str, GraphProgress], queue: str) -> int:
    return sum(
        progress.graph.policy.queue == queue and progress.is_active and not progress.has_begun
        for progress in graphs.values()
    )


@pytest.mark.parametrize("seed", range(10))
def test_count_follows_the_commands(seed: int) -> None:
    """Guards against a queue whose waiting jobs are counted wrongly, or in a pass over all jobs."""
    draw = random.Random(seed)
    state = ControlState()
    graphs = state.graphs.graphs
    unbegun = UnbegunGraphs(graphs)

    def apply(command: MessageStruct) -> None:
        state.apply(1, state.encode_command(command))

    for number in range(100):
        if number == 30:
            steps = unbegun.load()
            next(steps)
            state.listeners.append(unbegun.on_command_applied)
        if number == 35:
            assert sum(1 for _ in steps) >= 20
        apply(AcceptGraph(graph=make_graph(number), now_s=NOW_S))
        name = f"g{draw.randint(0, number)}"
        if draw.random() < 0.3:
            run = TaskRun(TaskId(name, 0, 0, 0), 1)
            apply(RecordRuns(now_s=NOW_S, starts=(PlacedRun(run, "w", "a"),)))
        elif draw.random() < 0.3:
            apply(EndGraph(graph_id=name, now_s=NOW_S))
            if draw.random() < 0.5:
                apply(RecordRuns(now_s=NOW_S, removed_graph_ids=(name,)))
        if number >= 35:
            assert [unbegun.count(queue) for queue in QUEUES] == [
                count(graphs, queue) for queue in QUEUES
            ]
    again = UnbegunGraphs(graphs)
    run_at_once(again.load())
    assert again.by_queue == unbegun.by_queue
