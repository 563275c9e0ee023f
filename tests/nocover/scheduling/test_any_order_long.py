"""Runs many steps of the scheduler's state machine for both production policies."""

from hypothesis import Phase, settings

from scheduler_machine import SchedulerMachine

# Shrinking a failure of this machine takes many minutes; the steps are printed as generated.
PHASES = (Phase.explicit, Phase.generate)


class CompactMachine(SchedulerMachine):
    """Guards against an order of events that breaks a guarantee, a gang or a queue."""

    __slots__ = ()
    policy = "compact"


class SwiftMachine(SchedulerMachine):
    """The same for the other production policy."""

    __slots__ = ()
    policy = "swift"


TestCompact = CompactMachine.TestCase
TestCompact.settings = settings(max_examples=300, stateful_step_count=60, phases=PHASES)
TestSwift = SwiftMachine.TestCase
TestSwift.settings = settings(max_examples=300, stateful_step_count=60, phases=PHASES)
