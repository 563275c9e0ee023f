"""Tests of when the rule of guarantees is applied."""

import random
from collections.abc import Iterable, Mapping

import pytest

from cicadatray.internal.control import commands
from cicadatray.internal.control.control_state import ControlState
from cicadatray.internal.control.graphs.covered_graphs import CoveredGraphs
from cicadatray.internal.control.graphs.ready_index import ReadyIndex
from cicadatray.internal.control.loop_turns import run_at_once
from cicadatray.internal.wire.message import MessageStruct
from cicadatray.internal.wire.messages.graph_messages import AcceptGraph, EndGraph
from cicadatray.scheduling.taskgraphs.graph_progress import GraphProgress
from cicadatray.scheduling.taskgraphs.queue_policy import QueuePolicy
from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.rules.guarantee_rule import guarantee_rules
from cicadatray.scheduling.taskgraphs.step import Step
from cicadatray.scheduling.taskgraphs.task_graph import TaskGraph

assert commands.COMMAND_MODULES
NOW_S = 1000.0
RULES = sorted(guarantee_rules.rules)


class Coverage:
    """A replicated state, what is covered in it, and how often the rule was applied."""

    def __init__(self, rule: str) -> None:
        self.state = ControlState()
        self.index = ReadyIndex(self.state.graphs.graphs)
        self.state.listeners.append(self.index.on_command_applied)
        self.rule = guarantee_rules.find(rule)
        self.applications = 0
        self.covered_graphs = CoveredGraphs(self._apply_rule, self.index)

    def _apply_rule(
        self, graphs: Iterable[GraphProgress], guarantees: Mapping[str, int]
    ) -> set[str]:
        self.applications += 1
        return self.rule(graphs, guarantees)

    def apply(self, command: MessageStruct) -> None:
        self.state.apply(1, self.state.encode_command(command))

    def accept(self, number: int, priority: int, accelerators: int = 1) -> None:
        policy = QueuePolicy("queue", "pool", priority, 2, 3.0, 1.0)
        step = Step(1, Resources(1, 1, accelerators), 1.0)
        graph = TaskGraph(f"g{number}", f"account-{number % 2}", policy, "", (step,))
        self.apply(AcceptGraph(graph=graph, now_s=NOW_S))

    def find(self, guarantees: Mapping[str, int]) -> set[str]:
        run_at_once(self.index.update(NOW_S))
        return self.covered_graphs.find(guarantees)


@pytest.mark.parametrize("rule", RULES)
@pytest.mark.parametrize("seed", range(10))
def test_covered_graphs_follow_the_commands(rule: str, seed: int) -> None:
    """Guards against guarantees that are given to other jobs than the rule says."""
    draw = random.Random(seed)
    coverage = Coverage(rule)
    guarantees = {"account-0": 4, "account-1": 0}
    for number in range(80):
        coverage.accept(number, draw.randint(0, 1), draw.randint(0, 3))
        if draw.random() < 0.6:
            name = f"g{draw.randint(0, number)}"
            coverage.apply(EndGraph(graph_id=name, now_s=NOW_S))
        if draw.random() < 0.1:
            guarantees = {**guarantees, "account-1": draw.randint(0, 6)}
        expected = coverage.rule(coverage.state.graphs.graphs.values(), guarantees)
        assert coverage.find(guarantees) == expected


def test_rule_is_applied_only_after_changes() -> None:
    """Guards against rounds that each pass over all jobs for the guarantees."""
    coverage = Coverage("by_job")
    guarantees = {"account-0": 4}
    for number in range(4):
        coverage.accept(number, 0)
    for _ in range(3):
        coverage.find(guarantees)
    assert coverage.applications == 1
    coverage.accept(5, 1)
    coverage.find(guarantees)
    assert coverage.applications == 1
    coverage.apply(EndGraph(graph_id="g2", now_s=NOW_S))
    coverage.find(guarantees)
    assert coverage.applications == 2
    coverage.find({"account-0": 5})
    assert coverage.applications == 3
