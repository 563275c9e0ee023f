"""Random fault sequences around task graphs, with few examples."""

from hypothesis import settings

from cover.taskgraphs.graph_machine import GraphMachine


class ShortGraphMachine(GraphMachine):
    """Has its own test case, so that its settings do not affect the long test."""


TestGraphs = ShortGraphMachine.TestCase
TestGraphs.settings = settings(max_examples=25, stateful_step_count=25)
