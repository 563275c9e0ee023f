"""Runs many steps of the state machine of the scheduler for both production policies."""

from hypothesis import Phase, settings

from scheduler_machine import SchedulerMachine

# Shrinking a failure of this machine takes many minutes, so the steps are printed as generated.
PHASES = (Phase.explicit, Phase.generate)


class CompactMachine(SchedulerMachine):
    """Guards against orders of events that violate a guarantee, split a gang or starve a job."""

    __slots__ = ()
    policy = "compact"


class SwiftMachine(SchedulerMachine):
    """Guards against the same failures under the other production policy."""

    __slots__ = ()
    policy = "swift"


TestCompact = CompactMachine.TestCase
TestCompact.settings = settings(max_examples=300, stateful_step_count=60, phases=PHASES)
TestSwift = SwiftMachine.TestCase
TestSwift.settings = settings(max_examples=300, stateful_step_count=60, phases=PHASES)
