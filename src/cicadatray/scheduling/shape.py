"""Shapes of adjacent accelerators."""

from enum import Enum

import msgspec


class Scope(Enum):
    """The unit within which accelerators count as adjacent."""

    WORKER = "worker"
    RACK = "rack"
    DATA_CENTRE = "data_centre"


class Shape(msgspec.Struct, frozen=True):
    """A number of accelerators inside one unit of a scope."""

    accelerators: int
    scope: Scope
