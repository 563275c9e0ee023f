"""Random faults beside full lists of ends, with few examples."""

from hypothesis import settings

from cover.taskgraphs.unlisted_ends_machine import UnlistedEndsMachine


class ShortUnlistedEndsMachine(UnlistedEndsMachine):
    """Has its own test case, so that its settings do not affect the long test."""


TestUnlistedEnds = ShortUnlistedEndsMachine.TestCase
TestUnlistedEnds.settings = settings(max_examples=15, stateful_step_count=15)
