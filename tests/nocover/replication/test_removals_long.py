"""Tests of removals of members under random faults."""

from hypothesis import settings

from cover.replication.removal_machine import RemovalMachine

# Guards against a member that misses commands, or a group that does not recover, when a member is
# removed while leaders are killed and messages take seconds. `HYPOTHESIS_PROFILE=search` draws
# other sequences in each run.
TestRemovals = RemovalMachine.TestCase
TestRemovals.settings = settings(max_examples=150, stateful_step_count=30)
