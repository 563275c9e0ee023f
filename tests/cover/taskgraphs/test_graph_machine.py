"""Random sequences of faults around task graphs, the short form."""

from hypothesis import settings

from cover.taskgraphs.graph_machine import GraphMachine


class ShortGraphMachine(GraphMachine):
    """Has a test case of its own, so that its settings are not those of the long form."""


TestGraphs = ShortGraphMachine.TestCase
TestGraphs.settings = settings(max_examples=25, stateful_step_count=25)
