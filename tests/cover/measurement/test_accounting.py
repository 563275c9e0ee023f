"""Tests of the capacity ledger, the fragmentation integral and the figures."""

import pytest

from cicadatray.internal.bench.measurement.capacity_ledger import CapacityLedger
from cicadatray.internal.bench.measurement.event_heap import EventHeap
from cicadatray.internal.bench.measurement.fragmentation import (
    FragmentationIntegral,
    IdleCounts,
    count_idle,
)
from cicadatray.internal.bench.measurement.percentiles import DurationHistogram
from cicadatray.internal.bench.measurement.spread import spread_of
from cicadatray.scheduling.placement import Placement, WorkerShare
from cover.measurement.builders import RACK_16, make_inventory, make_placement


@pytest.mark.parametrize(
    ("idle", "stranded", "unavoidable"),
    [
        ({"a0": 8, "a1": 8, "a2": 0, "b0": 8}, 8, 8),
        ({"a0": 8, "a1": 8, "a2": 8, "b0": 0}, 8, 8),
        ({"a0": 5, "a1": 5, "a2": 6, "b0": 0}, 0, 0),
        ({"a0": 4, "a1": 4, "a2": 4, "b0": 4}, 16, 0),
        # The empty fleet has room for one large job only.
        ({"a0": 8, "a1": 8, "a2": 8, "b0": 8}, 16, 16),
        ({"a0": 0, "a1": 0, "a2": 0, "b0": 0}, 0, 0),
    ],
)
def test_stranded_accelerators_follow_the_definition(
    idle: dict[str, int], stranded: int, unavoidable: int
) -> None:
    """Guards against a metric that differs from its stated definition."""
    inventory = make_inventory({"a": 3, "b": 1})
    counts = count_idle(inventory, set(), idle, RACK_16)
    assert counts == IdleCounts(sum(idle.values()), stranded, unavoidable)


def test_fragmentation_is_weighted_by_time_and_ends_at_the_horizon() -> None:
    """Guards against counting the empty fleet after the last submission."""
    integral = FragmentationIntegral(horizon_s=100.0)
    integral.update(0.0, IdleCounts(idle=8, stranded=8, unavoidable=4))
    integral.update(25.0, IdleCounts(idle=24, stranded=0, unavoidable=0))
    integral.update(1000.0, IdleCounts())
    assert integral.floor() == pytest.approx(integral.share() / 2)
    assert integral.share() == pytest.approx(8 * 25 / (8 * 25 + 24 * 75))


@pytest.mark.parametrize(
    "placement",
    [
        make_placement(a0=8),
        make_placement(a0=8, b0=8),
        make_placement(a0=9, a1=7),
        make_placement(a0=8, a2=8),
        Placement((WorkerShare("a0", 8), WorkerShare("a0", 8))),
        make_placement(a0=8, unknown=8),
    ],
    ids=["too few", "two racks", "overcommitted", "lost worker", "repeated worker", "unknown"],
)
def test_ledger_rejects_placements_where_the_whole_gang_cannot_start(placement: Placement) -> None:
    """Guards against partial gangs that are not counted."""
    ledger = CapacityLedger(make_inventory({"a": 3, "b": 1}), RACK_16, 100.0)
    ledger.lost.add("a2")
    assert ledger.find_problem(placement, RACK_16) is not None
    assert ledger.find_problem(make_placement(a0=8, a1=8), RACK_16) is None


def test_events_of_equal_time_run_in_order_of_scheduling() -> None:
    """Guards against runs that differ between executions."""
    heap = EventHeap()
    seen: list[str] = []
    for at_s, name in ((2.0, "c"), (1.0, "a"), (1.0, "b"), (9.0, "late")):
        heap.call_at(at_s, lambda name=name: seen.append(name))
    heap.run(until_s=5.0, finished=lambda: False)
    assert (seen, heap.now_s) == (["a", "b", "c"], 5.0)


def test_figures_report_the_spread_and_percentiles() -> None:
    """Guards against reporting the best seed, and against percentiles that drop the tail."""
    spread = spread_of([3.0, 1.0, 2.0])
    assert (spread.min, spread.median, spread.max) == (1.0, 2.0, 3.0)
    histogram = DurationHistogram([1.0] * 98 + [1000.0] * 2)
    assert histogram.percentile_s(99) == pytest.approx(1000.0, rel=0.01)
    assert DurationHistogram().percentile_s(99) == 0.0
