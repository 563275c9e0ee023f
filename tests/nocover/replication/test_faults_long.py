"""Tests with more and longer random sequences of faults."""

from hypothesis import settings

from cover.replication.fault_machine import FaultMachine

# Guards against the same failures as the bounded tests, with more and longer sequences.
TestFaultsLong = FaultMachine.TestCase
TestFaultsLong.settings = settings(max_examples=1500, stateful_step_count=60)
