"""Random sequences of faults around task graphs, the long form."""

from hypothesis import settings

from cover.taskgraphs.graph_machine import GraphMachine


class LongGraphMachine(GraphMachine):
    """Has a test case of its own, so that its settings are not those of the short form."""


TestGraphsLong = LongGraphMachine.TestCase
TestGraphsLong.settings = settings(max_examples=150, stateful_step_count=50)
