"""Tests with random sequences of faults, bounded for CI."""

from hypothesis import settings

from cover.replication.fault_machine import FaultMachine

# Guards against lost or reordered commands, two leaders in a term, stale reads and a group that
# does not recover, under crashes at writes, network partitions, frozen processes, lost disks and
# membership changes.
TestFaults = FaultMachine.TestCase
TestFaults.settings = settings(max_examples=100, stateful_step_count=40)
