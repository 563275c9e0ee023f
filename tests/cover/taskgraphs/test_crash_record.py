"""When a task is suspected of crashing its workers, and when it is given up."""

import pytest

from cicadatray.scheduling.taskgraphs.crash_record import (
    FORGET_AFTER_S,
    HARMLESS_AFTER_S,
    MAX_CRASHES,
    MAX_EARLY_CRASHES,
    CrashRecord,
)

EARLY = 0.0
LATE = HARMLESS_AFTER_S


@pytest.mark.parametrize(
    ("observed_s", "is_suspect", "is_exhausted"),
    [
        ([], False, False),
        ([EARLY], True, False),
        ([EARLY] * (MAX_EARLY_CRASHES - 1), True, False),
        ([EARLY] * MAX_EARLY_CRASHES, True, True),
        ([EARLY, LATE], False, False),
        ([EARLY, EARLY, LATE, EARLY], True, False),
        ([LATE] * (MAX_CRASHES - 1), False, False),
        ([LATE] * MAX_CRASHES, False, True),
        ([LATE] * (MAX_CRASHES - 1) + [FORGET_AFTER_S], False, False),
        ([EARLY, EARLY, FORGET_AFTER_S, EARLY, EARLY], True, False),
    ],
)
def test_crashes_are_counted_by_the_time_before_them(
    observed_s: list[float], is_suspect: bool, is_exhausted: bool
) -> None:
    """Guards against endless starts of a task that crashes its workers, early or late.

    A task that was at work for long does not lose its job to crashes with another cause.
    """
    record = CrashRecord()
    for seconds in observed_s:
        record.add(seconds)
    assert (record.is_suspect, record.is_exhausted(False)) == (is_suspect, is_exhausted)


@pytest.mark.parametrize(("observed_s", "is_exhausted"), [(EARLY, True), (LATE, False)])
def test_long_running_task_outlives_many_workers(observed_s: float, is_exhausted: bool) -> None:
    """Guards against a service that is given up because its workers crash now and then."""
    record = CrashRecord()
    for _ in range(MAX_CRASHES + 1):
        record.add(observed_s)
    assert record.is_exhausted(is_long_running=True) is is_exhausted
