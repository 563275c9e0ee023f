"""Spread of a figure over runs."""

from collections.abc import Sequence
from statistics import median

import msgspec

DECIMALS = 4


class Spread(msgspec.Struct, frozen=True):
    """Smallest, median and largest value."""

    min: float
    median: float
    max: float


def spread_of(values: Sequence[float]) -> Spread:
    """Returns the spread, rounded so that printed results can be compared."""
    rounded = [round(float(value), DECIMALS) for value in values]
    return Spread(min(rounded), round(median(rounded), DECIMALS), max(rounded))
