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


@pytest.mark.parametrize(
    ("agents", "is_exhausted"),
    [
        (["a", "a", "a"], False),
        (["a", "b", "a"], True),
        (["a", "a", "a", "b"], True),
        (["", "", ""], True),
        (["a"] * MAX_CRASHES, True),
    ],
    ids=["one agent", "two agents", "another one at last", "not known", "too many"],
)
def test_early_crashes_of_the_workers_of_one_agent_do_not_give_up_a_task(
    agents: list[str], is_exhausted: bool
) -> None:
    """Guards against failing a job for a worker that crashes again and again by itself."""
    record = CrashRecord()
    for agent_id in agents:
        record.add(EARLY, agent_id)
    assert record.is_suspect
    assert record.is_exhausted(is_long_running=False) is is_exhausted


def test_crash_after_a_harmless_run_ends_the_series_on_one_agent() -> None:
    """Guards against a record in which agents of earlier crashes in a row are counted."""
    record = CrashRecord()
    for observed_s, agent_id in ((EARLY, "b"), (LATE, "a"), *[(EARLY, "a")] * 2):
        record.add(observed_s, agent_id)
    assert (record.early, record.agents) == (2, ("a",))
