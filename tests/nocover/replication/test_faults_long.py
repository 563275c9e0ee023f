"""Random sequences of faults, the long form."""

from hypothesis import settings

from cover.replication.fault_machine import FaultMachine

# The same guarantees as in the fast suite, with longer and more sequences.
TestFaultsLong = FaultMachine.TestCase
TestFaultsLong.settings = settings(max_examples=1500, stateful_step_count=60)
