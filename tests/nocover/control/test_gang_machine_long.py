"""Long run of the gang state machine."""

from hypothesis import settings

from cover.control.gangs.gang_machine import GangMachine

# Checks the same invariants as the fast suite, with more and longer sequences.
TestGangsLong = GangMachine.TestCase
TestGangsLong.settings = settings(max_examples=400, stateful_step_count=60)
