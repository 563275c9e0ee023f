"""Short run of the gang state machine."""

from hypothesis import settings

from cover.control.gangs.gang_machine import GangMachine

TestGangs = GangMachine.TestCase
TestGangs.settings = settings(max_examples=30, stateful_step_count=30)
