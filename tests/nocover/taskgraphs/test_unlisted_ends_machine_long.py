"""Random faults beside full lists of ends, with many examples."""

from hypothesis import settings

from cover.taskgraphs.unlisted_ends_machine import UnlistedEndsMachine


class LongUnlistedEndsMachine(UnlistedEndsMachine):
    """Has its own test case, so that its settings do not affect the short test."""


TestUnlistedEndsLong = LongUnlistedEndsMachine.TestCase
TestUnlistedEndsLong.settings = settings(max_examples=60, stateful_step_count=40)
