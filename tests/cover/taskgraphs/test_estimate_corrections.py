"""Corrected estimates of queues."""

import math
from random import Random

import pytest

from cicadatray.scheduling.taskgraphs.estimate_corrections import (
    MAX_QUEUES,
    MAX_STEPS,
    EstimateCorrections,
)


def test_without_observations_estimates_are_believed() -> None:
    """Guards against a new leader that distrusts all estimates."""
    corrections = EstimateCorrections()
    assert corrections.expected_s("queue", 10.0) == pytest.approx(10.0)
    assert corrections.quantile_s("queue", 10.0, 0.5) == pytest.approx(10.0)
    assert corrections.quantile_s("queue", 10.0, 0.84) == pytest.approx(16.4, abs=0.1)


@pytest.mark.parametrize(("bias", "spread"), [(1.0, 0.5), (2.0, 0.2), (0.5, 0.8)])
def test_bias_and_spread_are_learned(bias: float, spread: float) -> None:
    """Guards against plans by estimates that are always too short."""
    random = Random(1)
    corrections = EstimateCorrections()
    for number in range(60):
        time_s = 10.0 * bias * math.exp(random.gauss(0.0, spread))
        corrections.add("queue", f"step{number}", 10.0, time_s)
    assert corrections.expected_s("queue", 10.0) == pytest.approx(10.0 * bias, rel=0.3)
    assert corrections.log_ratio("queue").stdev == pytest.approx(spread, rel=0.3)


def test_one_step_with_many_tasks_counts_once() -> None:
    """Guards against one wrong estimate that corrects a whole queue."""
    corrections = EstimateCorrections()
    for _ in range(39):
        corrections.add("queue", "step", 10.0, 40.0)
    assert corrections.expected_s("queue", 10.0) < 14.0
    assert corrections.expected_s("other", 10.0) == pytest.approx(10.0)


def test_space_is_bounded() -> None:
    """Guards against memory that grows with the number of jobs or queues."""
    corrections = EstimateCorrections()
    for number in range(MAX_STEPS + 10):
        corrections.add("queue", f"step{number}", 10.0, 10.0)
    assert len(corrections.queues["queue"]) == MAX_STEPS
    for number in range(MAX_QUEUES + 10):
        corrections.add(f"queue{number}", "step", 10.0, 10.0)
    assert len(corrections.queues) == MAX_QUEUES


@pytest.mark.parametrize(("estimate_s", "time_s"), [(0.0, 1.0), (1.0, 0.0)])
def test_degenerate_times_are_ignored(estimate_s: float, time_s: float) -> None:
    """Guards against a logarithm of zero from a step without an estimate."""
    corrections = EstimateCorrections()
    corrections.add("queue", "step", estimate_s, time_s)
    assert corrections.expected_s("queue", 10.0) == pytest.approx(10.0)
