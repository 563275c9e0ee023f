"""Simultaneous loss of as many disks as a group tolerates, bounded for CI."""

import pytest
from hypothesis import settings

from cover.replication.promised_losses import PromisedLossesMachine

# Guards against a group that loses acknowledged commands, or can no longer elect a leader, after
# the simultaneous loss of as many disks as it tolerates while all other members lose power.
TestPromisedLosses = PromisedLossesMachine.TestCase
TestPromisedLosses.settings = settings(max_examples=60, stateful_step_count=30)


@pytest.mark.parametrize("is_power_lost", [False, True], ids=["disks", "disks-and-power"])
@pytest.mark.parametrize(("tolerance", "after_ms"), [(1, 0), (1, 100), (2, 0), (2, 100)])
def test_disk_losses_are_tolerated_while_a_member_with_its_disk_is_replaced(
    tolerance: int, after_ms: int, is_power_lost: bool
) -> None:
    """Guards against removing a partitioned voter before its successor is promoted."""
    machine = PromisedLossesMachine()
    machine.form(seed=tolerance, tolerance=tolerance, spares=1, grows=False)
    leader = machine.group.wait_for_leader().settings.member_id
    names = sorted(machine.group.nodes)
    # The spare has the last name; the instances after the isolated one lose their disks.
    isolated = next(n for n in range(len(names) - tolerance - 1) if names[n] != leader)
    machine.lose_disks_during_change(isolated, tolerance, is_power_lost, after_ms)
    assert len(machine.lost) == tolerance
    machine.teardown()
