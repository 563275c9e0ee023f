"""Random fault sequences around task graphs, with many examples."""

from hypothesis import settings

from cover.taskgraphs.graph_machine import GraphMachine


class LongGraphMachine(GraphMachine):
    """Has its own test case, so that its settings do not affect the short test."""


TestGraphsLong = LongGraphMachine.TestCase
TestGraphsLong.settings = settings(max_examples=150, stateful_step_count=50)
