"""Tests of the code that runs the model checker."""

from enum import StrEnum
from typing import NamedTuple

import pytest

from cicadatray.internal.models.check import check_specification
from cicadatray.internal.models.main import describe
from cicadatray.internal.models.specification import Specification
from cicadatray.internal.models.trace import render_trace

LIMIT = 3


class CounterDefect(StrEnum):
    """A counter that does not stop at its limit."""

    NO_LIMIT = "no_limit"


class Counter(NamedTuple):
    """A number that grows by one."""

    number: int


def counter() -> Specification:
    """Returns a specification with four states."""
    return Specification(
        name="counter",
        initial=Counter(0),
        successors=lambda state, defect: [
            ("add", Counter(state.number + 1)) for _ in "+" if defect or state.number < LIMIT
        ],
        invariants={"limited": lambda fields: fields["number"] <= LIMIT},
        defects=(CounterDefect.NO_LIMIT,),
        bounds={"limit": LIMIT},
    )


def test_correct_specification_is_searched_completely() -> None:
    """Guards against a result that is reported before all states were visited."""
    result = check_specification(counter(), None)
    assert (result.holds, result.states, result.as_expected) == (True, LIMIT + 1, True)


def test_truncated_search_does_not_hold() -> None:
    """Guards against reporting a search that reached its state limit as a proof."""
    result = check_specification(counter(), None, max_states=2)
    assert (result.holds, result.as_expected) == (False, False)
    assert "INCOMPLETE" in describe(result)


def test_counterexample_ends_the_search_and_is_readable() -> None:
    """Guards against an endless search after a violation, and against an empty trace."""
    result = check_specification(counter(), "no_limit")
    assert (result.violated, result.steps) == ("limited", LIMIT + 1)
    assert list(render_trace(result))[-1].split() == ["4", "add:", "number=4"]


def test_unknown_defect_is_an_error() -> None:
    """Guards against a misspelt defect that would check the correct protocol instead."""
    with pytest.raises(ValueError, match="no seeded defect"):
        check_specification(counter(), "nothing")
