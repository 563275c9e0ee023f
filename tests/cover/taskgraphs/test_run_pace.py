"""The remaining time of a run from its reports."""

import pytest

from cicadatray.scheduling.taskgraphs.run_pace import ProgressReport, RunPace

ESTIMATE_S = 20.0


def make_pace(percents: list[int]) -> RunPace:
    """Returns a run that reports these percentages once a second."""
    pace = RunPace(ProgressReport("r", "s", "q", ESTIMATE_S, False, percents[0]), 0.0)
    for second, percent in enumerate(percents[1:], start=1):
        pace.add(percent, float(second))
    return pace


def test_steady_run_uses_its_whole_progress() -> None:
    """Guards against a remaining time that jumps with the rounding of the last reports.

    The run does 3% a second; its reports are rounded down to multiples of 4%, so that the last two
    changes show 4% a second.
    """
    pace = make_pace([0, 0, 4, 8, 12, 12, 16, 20, 24, 24, 28, 32])
    assert pace.remaining_s() == pytest.approx((100 - 32) / (28 / 9), rel=0.01)


@pytest.mark.parametrize(
    "percents", [[*range(0, 60, 6), 55, 56, 57, 58], [*range(0, 60, 6)] + [54] * 5]
)
def test_run_that_becomes_slow_uses_its_last_seconds(percents: list[int]) -> None:
    """Guards against a mean that hides that the worker has become several times slower."""
    remaining_s = make_pace(percents).remaining_s()
    assert remaining_s is not None
    # At the first pace of 6% a second it would be 8 s.
    assert remaining_s > 20.0


def test_a_pace_less_precise_than_the_estimate_is_not_used() -> None:
    """Guards against a rough pace in place of the step's estimate.

    One step of 20% in 0.8 s has a larger error than the estimate (a log deviation of 0.5).
    """
    pace = RunPace(ProgressReport("r", "s", "q", ESTIMATE_S, False, 0), 0.0)
    pace.add(20, 1.0)
    assert pace.remaining_s() is None
