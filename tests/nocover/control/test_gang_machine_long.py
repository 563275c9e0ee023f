"""Random sequences of faults around gangs, the long form."""

from hypothesis import settings

from cover.control.gangs.gang_machine import GangMachine

# The same guarantees as in the fast suite, with longer and more sequences.
TestGangsLong = GangMachine.TestCase
TestGangsLong.settings = settings(max_examples=400, stateful_step_count=60)
